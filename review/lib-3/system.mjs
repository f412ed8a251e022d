/* eslint n/no-sync: "off", n/no-process-exit: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const READINESS_PATH = '/limpetnotch/readiness';

export const delay = (milliseconds) =>
  new Promise((done) => {
    setTimeout(done, milliseconds);
  });

/** Returns the words of a role's command in the deploy file. */
const commandOf = (role) => {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  return (/^run = "(.*)"$/m.exec(section)?.[1] ?? '').split(' ');
};

/** A folder for settings and disks, which `close` removes. */
export const createFolder = () => {
  const path = mkdtempSync(join(tmpdir(), 'limpetnotch-review-'));
  return { path, close: () => rmSync(path, { recursive: true, force: true }) };
};

/** Returns a function from index to a loopback address that other runs hardly use. */
export const createHosts = () => {
  const network = 1_000 + (process.pid % 50_000);
  return (index) => `127.${10 + (network % 200)}.${Math.floor(network / 200) % 250}.${index}`;
};

/** Processes that run; none outlives the script, however it ends. */
const running = new Set();
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));
process.on('SIGTERM', () => process.exit(2));

/** One process of the project, started as the deploy file says. */
export class SystemProcess {
  #options;

  #child;

  output = '';

  ends = [];

  isStopping = false;

  constructor(options) {
    this.#options = options;
  }

  get name() {
    return this.#options.name;
  }

  get role() {
    return this.#options.role;
  }

  get host() {
    return this.#options.host;
  }

  get pid() {
    return this.#child?.pid;
  }

  get hasExited() {
    return !this.#child || this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Writes the settings file and starts the process; it starts again after each end. */
  start(isBootstrap) {
    const { name, role, host, folder, restarts = true } = this.#options;
    const settings = join(folder, `${name}.toml`);
    writeFileSync(settings, this.#settings(isBootstrap));
    const words = commandOf(role).map((word) => word.replace('{{ipAddress}}', host));
    const [program, ...rest] = words;
    const child = spawn(program === 'node' ? process.execPath : program, rest, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETNOTCH_SETTINGS: settings },
    });
    this.#child = child;
    running.add(child);
    child.once('exit', () => running.delete(child));
    const append = (bytes) => {
      this.output = (this.output + bytes.toString()).slice(-8_000_000);
    };
    child.stdout.on('data', append);
    child.stderr.on('data', append);
    child.once('exit', (code, signal) => {
      this.ends.push({ at: Date.now(), code, signal, isAsked: this.isStopping });
      if (!this.isStopping && restarts) setTimeout(() => this.start(false), 300);
    });
  }

  signal(signal) {
    if (!this.hasExited) this.#child.kill(signal);
  }

  /** Kills the process and removes its disk; it starts again with an empty one. */
  async loseDisk(downMilliseconds) {
    const { name, folder } = this.#options;
    this.isStopping = true;
    this.signal('SIGKILL');
    while (!this.hasExited) await delay(10);
    rmSync(join(folder, `${name}-disk`), { recursive: true, force: true });
    await delay(downMilliseconds);
    this.isStopping = false;
    this.start(false);
  }

  /** Ends the process for good. */
  async stop() {
    this.isStopping = true;
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    for (let waited = 0; !this.hasExited && waited < 3_000; waited += 50) await delay(50);
    this.signal('SIGKILL');
  }

  #settings(isBootstrap) {
    const { name, role, host, zone, storePort, folder, memoryMb = 310 } = this.#options;
    const isEntry = role === 'entry';
    const disk = join(folder, `${name}-disk`);
    if (!isEntry) mkdirSync(disk, { recursive: true });
    return [
      `nodeName = "${name}"`,
      `role = "${role}"`,
      `machineClass = "${isEntry ? 'frontend' : 'storage'}"`,
      `ipAddress = "${host}"`,
      `zone = "${zone}"`,
      'region = "region"',
      'internalPorts = [7780, 7795]',
      'seeds = []',
      `bootstrap = ${isBootstrap}`,
      `includeInTolerance = ${!isEntry}`,
      ...(isEntry ? [] : [`dataDirectory = "${disk}"`]),
      '[zones]',
      'zone-a = "region"',
      'zone-b = "region"',
      'zone-c = "region"',
      '[listen]',
      ...(isEntry ? [`frontend = "${host}:8368"`, `readiness = "${host}:8369"`] : []),
      '[limits]',
      `memoryMb = ${memoryMb}`,
      'fileDescriptors = 8200',
      '[tolerance]',
      'machines = 1',
      'zones = 0',
      'regions = 0',
      '[bounds]',
      'stableWindowMs = 3000',
      'drainMs = 2000',
      'graceS = 8',
      'configApplyMs = 2000',
      'catchUpS = 4',
      'quotaWindowS = 5',
      'recoveryS = 12',
      '[platform]',
      `address = "127.0.0.1:${storePort}"`,
      '',
    ].join('\n');
  }
}

/** Sends one request; resolves to its status, headers and body, and whether the answer is whole. */
export const send = ({ host, port = 8368, method = 'GET', path, headers = {}, body, agent }) =>
  new Promise((done) => {
    const outgoing = sendRequest({ host, port, method, path, headers, agent });
    const fail = (error) => done({ status: 0, detail: error.code ?? error.message, body: '' });
    outgoing.once('error', fail);
    outgoing.once('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.once('close', () =>
        done({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isWhole: response.complete,
        }),
      );
    });
    outgoing.end(body);
  });

/** Waits until an entry says that it is ready; resolves to whether it did in time. */
export const untilReady = async ({ host }, milliseconds = 20_000) => {
  const until = Date.now() + milliseconds;
  while (Date.now() < until) {
    const { status } = await send({ host, port: 8369, path: READINESS_PATH });
    if (status === 200) return true;
    await delay(100);
  }
  return false;
};

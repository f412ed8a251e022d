// Plain modules without a build: their imports need extensions, and steps run one after another.
/* eslint-disable no-await-in-loop, no-promise-executor-return */
/** Starts the project's own programs with the commands of the deploy file, on loopback addresses. */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request as send } from 'node:http';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

const DEPLOY = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8');

/** Returns the command of a role in the deploy file. */
const commandOf = (role) => {
  const section = DEPLOY.split(`[roles.${role}]`)[1] ?? '';
  return /^run = "(.*)"$/m.exec(section)[1];
};

export const delay = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Returns the first of some consecutive ports that are free at all hosts. */
const findFreePorts = async (hosts, count) => {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const first = 20_000 + Math.floor(Math.random() * 40_000);
    const checks = hosts.flatMap((host) =>
      Array.from({ length: count }, (_, index) => isFree(host, first + index)),
    );
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
  throw new Error('no free ports');
};

export class Deployment {
  folder;

  processes = new Map();

  #options;

  #ports;

  #hosts = new Map();

  /** `names` of entry and storage machines, with their zones; `bounds` and `limits` as on the sheets. */
  constructor(options) {
    this.#options = options;
  }

  async prepare() {
    const { machines } = this.#options;
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
    const net = 1 + Math.floor(Math.random() * 250);
    machines.forEach(({ name }, index) => this.#hosts.set(name, `127.${net}.0.${index + 2}`));
    this.#ports = await findFreePorts([...this.#hosts.values()], 20);
  }

  hostOf(name) {
    return this.#hosts.get(name);
  }

  get frontendPort() {
    return this.#ports + 17;
  }

  get readinessPort() {
    return this.#ports + 18;
  }

  async settingsOf({ name, zone, role, storePort = this.#options.storePort }, isFirstStart) {
    const { limits, bounds, tolerance } = this.#options;
    const host = this.hostOf(name);
    const lines = (table) => Object.entries(table).map(([key, value]) => `${key} = ${value}`);
    const folder = join(this.folder, name, 'data');
    await mkdir(folder, { recursive: true });
    return [
      `nodeName = "${name}"`,
      `role = "${role}"`,
      `ipAddress = "${host}"`,
      `zone = "${zone}"`,
      `internalPorts = [${this.#ports}, ${this.#ports + 15}]`,
      `bootstrap = ${isFirstStart}`,
      ...(role === 'storage' ? [`dataDirectory = "${folder}"`] : []),
      '[zones]',
      'zone-a = "area"',
      'zone-b = "area"',
      'zone-c = "area"',
      '[listen]',
      ...(role === 'entry'
        ? [
            `frontend = "${host}:${this.frontendPort}"`,
            `readiness = "${host}:${this.readinessPort}"`,
          ]
        : []),
      '[limits]',
      ...lines(limits),
      '[tolerance]',
      ...lines(tolerance),
      '[bounds]',
      ...lines(bounds),
      '[platform]',
      `address = "127.0.0.1:${storePort}"`,
      '',
    ].join('\n');
  }

  /** Starts the process of one machine. */
  async start(name, isFirstStart = false) {
    const machine = this.#options.machines.find((one) => one.name === name);
    await mkdir(join(this.folder, name), { recursive: true });
    const path = join(this.folder, name, 'node.toml');
    await writeFile(path, await this.settingsOf(machine, isFirstStart));
    const words = commandOf(machine.role)
      .replace('{{ipAddress}}:9464', `${this.hostOf(name)}:${this.#ports + 16}`)
      .split(' ');
    const child = spawn(words[0], words.slice(1), {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETNOTCH_SETTINGS: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, name, 'log'), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      child.ended = { code, signal };
    });
    this.processes.set(name, child);
    return child;
  }

  async startAll() {
    const machines = this.#options.machines.filter(({ isSpare }) => !isSpare);
    await Promise.all(machines.map(({ name }) => this.start(name, true)));
    const entries = machines.filter(({ role }) => role === 'entry');
    await Promise.all(entries.map(({ name }) => this.untilReady(name)));
  }

  async untilReady(name) {
    for (let attempt = 0; attempt < 300; attempt += 1) {
      if ((await this.#checkReadiness(name)) === 200) return;
      await delay(100);
    }
    throw new Error(`${name} did not become ready`);
  }

  #checkReadiness(name) {
    const options = {
      host: this.hostOf(name),
      port: this.readinessPort,
      path: '/limpetnotch/readiness',
      agent: false,
    };
    return new Promise((resolve) => {
      const request = send(options, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      request.once('error', () => resolve(0));
      request.end();
    });
  }

  readLog(name) {
    return readFile(join(this.folder, name, 'log'), 'utf8');
  }

  /** Memory of a process without the pages of its program file, in megabytes. */
  async anonymousMegabytes(name) {
    try {
      const status = await readFile(`/proc/${this.processes.get(name).pid}/status`, 'utf8');
      return (Number(/^RssAnon:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * 1024) / 1e6;
    } catch {
      return 0;
    }
  }

  /** Ends all processes that were started, and removes the folder unless KEEP is set. */
  async stop() {
    const running = [...this.processes.values()].filter(({ ended }) => !ended);
    running.forEach((child) => child.kill('SIGKILL'));
    await Promise.all(
      running.map((child) => child.ended ?? new Promise((resolve) => child.once('exit', resolve))),
    );
    if (this.folder && !process.env.KEEP) await rm(this.folder, { recursive: true, force: true });
  }
}

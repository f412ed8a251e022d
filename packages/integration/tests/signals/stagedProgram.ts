import { copyFile, mkdtemp, rename, rm, writeFile } from 'node:fs/promises';
import type { AddressInfo, Server } from 'node:net';
import { createServer } from 'node:net';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import { request } from 'undici';
import { ManagedProcess, waitUntil } from '../../src';
import { NamedPipe } from './namedPipe';
import type { ProgramName, ProgramState } from './signalCase';

/** A busy machine may take seconds to start a program. */
const START_TIMEOUT_MILLISECONDS = 15_000;

/** Longer than the platform's grace period, so that only a process that hangs is killed. */
const END_TIMEOUT_MILLISECONDS = 15_000;

const HOLD_LOADING = join(__dirname, 'holdLoading.cjs');

const daemonScript = require.resolve('@limpetnotch/server/bin/limpetnotchd.js');
const standInScript = require.resolve('@limpetnotch/stand-ins/dist/main.js');

const ENTRY_PORT = 8368;
const READINESS_PORT = 8369;
const PEER_PORT = 7780;

/** Nothing listens at the store's address, so the entry responds with 503. */
const formatSettings = (host: string, graceSeconds = 8): string => `
nodeName = "frontend-a-1"
ipAddress = "${host}"
zone = "a"
internalPorts = [${PEER_PORT}, ${PEER_PORT}]
[listen]
frontend = "${host}:${ENTRY_PORT}"
readiness = "${host}:${READINESS_PORT}"
[bounds]
graceS = ${graceSeconds}
[platform]
address = "${host}:8362"
`;

const BYTE_VALUES = 256;
const FIRST_ADDRESS_BYTE = 16;
const ADDRESS_BYTES = 200;

let addressCount = 0;

/** Returns a unique loopback address for each program, so that ports don't conflict. */
const createAddress = (): string => {
  addressCount += 1;
  const high = FIRST_ADDRESS_BYTE + (Math.floor(process.pid / BYTE_VALUES) % ADDRESS_BYTES);
  return `127.${high}.${process.pid % BYTE_VALUES}.${addressCount % BYTE_VALUES}`;
};

const isAnswering = async (address: string): Promise<boolean> => {
  const response = await request(address);
  await response.body.dump();
  return true;
};

/** Variables added to the environment of a process. */
type Environment = Readonly<Record<string, string>>;

/** A program that runs as a process and can be held in a state. */
export class StagedProgram {
  readonly #program: ProgramName;

  readonly #folder: string;

  readonly #host = createAddress();

  readonly #target: string;

  #process: ManagedProcess | undefined;

  #store: StoreStandIn | undefined;

  #unresponsiveStore: Server | undefined;

  #pipe: { readonly pipe: NamedPipe; readonly content: string } | undefined;

  readonly #environment: Environment;

  private constructor(
    program: ProgramName,
    target: string,
    folder: string,
    environment: Environment,
  ) {
    this.#program = program;
    this.#target = target;
    this.#folder = folder;
    this.#environment = environment;
  }

  /** Creates a program; `target` is the folder of the bundled programs. */
  static async create(
    program: ProgramName,
    target: string,
    environment: Environment = {},
  ): Promise<StagedProgram> {
    const folder = await mkdtemp(join(tmpdir(), 'signals-'));
    return new StagedProgram(program, target, folder, environment);
  }

  get process(): ManagedProcess {
    if (!this.#process) throw new Error(`${this.#program} was not started`);
    return this.#process;
  }

  /** Base address for callers. */
  get address(): string {
    return `http://${this.#host}:${ENTRY_PORT}`;
  }

  /** Starts the program and resolves when it is in the state. */
  async reach(state: ProgramState): Promise<void> {
    await this.#start(state);
    switch (state) {
      case 'loading':
        await this.#pipe?.pipe.waitForReader();
        return;
      case 'starting':
        await this.#waitUntilStarting();
        return;
      case 'serving':
        await this.waitUntilServing();
        return;
      case 'reloading':
        await this.waitUntilServing();
        await this.#holdSettings();
        this.process.signal('SIGHUP');
        await this.#pipe?.pipe.waitForReader();
        return;
      case 'draining':
      case 'ended':
        await this.waitUntilServing();
        this.process.signal('SIGTERM');
        if (this.#program === 'entry') await this.#waitForOutput('gateway.draining');
        if (this.#program === 'limpetnotchd') await this.#waitForOutput('instance.draining');
        return;
      default:
        state satisfies never;
    }
  }

  /** Lets a held program continue; the next read of its settings gets a regular file. */
  async release(): Promise<void> {
    if (this.#program === 'entry') await this.#writeSettings();
    await this.#pipe?.pipe.release(this.#pipe.content);
    this.#pipe = undefined;
  }

  /** Replaces the settings file of an entry by one with another grace period. */
  async changeGrace(graceSeconds: number): Promise<void> {
    await this.#writeSettings(graceSeconds);
  }

  async waitUntilServing(): Promise<void> {
    switch (this.#program) {
      case 'entry':
        await this.#waitUntilAnswering(`http://${this.#host}:${READINESS_PORT}`);
        return;
      case 'limpetnotchd':
        await this.#waitUntilAnswering(`${this.address}/healthz/live`);
        return;
      case 'storage':
        await this.#waitForOutput('storage.started');
        return;
      case 'stand-in':
        await this.#waitForOutput('"ready":true');
        return;
      default:
        this.#program satisfies never;
    }
  }

  /** Resolves when the process has ended; kills it if it hangs. */
  async waitForEnd(): Promise<void> {
    const timer = setTimeout(() => this.process.signal('SIGKILL'), END_TIMEOUT_MILLISECONDS);
    await this.process.waitForExit();
    clearTimeout(timer);
  }

  async close(): Promise<void> {
    await this.#process?.kill();
    await this.#store?.stop();
    this.#unresponsiveStore?.close();
    await rm(this.#folder, { recursive: true });
  }

  /** Whether the program stays in its state until it is signalled to stop. */
  get cannotServe(): boolean {
    return this.#unresponsiveStore !== undefined;
  }

  async #start(state: ProgramState): Promise<void> {
    switch (this.#program) {
      case 'entry':
        await this.#startEntry(state);
        return;
      case 'storage':
        this.#startProcess(join(this.#target, 'storage.js'), []);
        return;
      case 'limpetnotchd':
        await this.#startDaemon(state);
        return;
      case 'stand-in':
        this.#startProcess(standInScript, ['tools'], await this.#createHeldLoading(state));
        return;
      default:
        this.#program satisfies never;
    }
  }

  async #startEntry(state: ProgramState): Promise<void> {
    if (state === 'starting') await this.#holdSettings();
    else await this.#writeSettings();
    const isHeld = state === 'loading';
    const script = isHeld ? await this.#createHeldBundle() : join(this.#target, 'main.js');
    this.#startProcess(script, ['serve', '--settings', this.#settingsPath]);
  }

  async #startDaemon(state: ProgramState): Promise<void> {
    const storePort = await (state === 'starting'
      ? this.#startUnresponsiveStore()
      : this.#startStore());
    this.#startProcess(
      daemonScript,
      [
        ...['--instance', 'entry-1', '--availability-zone', 'zone-a'],
        ...['--entry-host', this.#host, '--entry-port', String(ENTRY_PORT)],
        ...['--peer-host', this.#host, '--peer-port', String(PEER_PORT)],
        ...['--store', `http://127.0.0.1:${storePort}`],
        ...['--lease-seconds', '1', '--drain-seconds', '1'],
      ],
      await this.#createHeldLoading(state),
    );
  }

  async #startStore(): Promise<number> {
    this.#store = new StoreStandIn();
    return this.#store.start();
  }

  /** Starts a store that accepts connections and never responds. */
  async #startUnresponsiveStore(): Promise<number> {
    const server = createServer((socket) => socket.on('error', () => undefined));
    this.#unresponsiveStore = server;
    await once(server.listen(0, '127.0.0.1'), 'listening');
    return (server.address() as AddressInfo).port;
  }

  async #writeSettings(graceSeconds?: number): Promise<void> {
    const path = join(this.#folder, 'written.toml');
    await writeFile(path, formatSettings(this.#host, graceSeconds));
    await rename(path, this.#settingsPath);
  }

  async #waitUntilStarting(): Promise<void> {
    if (this.#unresponsiveStore) await once(this.#unresponsiveStore, 'connection');
    else await this.#pipe?.pipe.waitForReader();
  }

  get #settingsPath(): string {
    return join(this.#folder, 'node.toml');
  }

  async #holdSettings(): Promise<void> {
    const pipe = await NamedPipe.create(join(this.#folder, 'held.toml'));
    await rename(join(this.#folder, 'held.toml'), this.#settingsPath);
    this.#pipe = { pipe: pipe.at(this.#settingsPath), content: formatSettings(this.#host) };
  }

  /** Creates a copy of the launcher whose bundle is a named pipe. */
  async #createHeldBundle(): Promise<string> {
    const script = join(this.#folder, 'main.js');
    await copyFile(join(this.#target, 'main.js'), script);
    await copyFile(join(this.#target, 'signals.js'), join(this.#folder, 'signals.js')).catch(
      () => undefined,
    );
    const pipe = await NamedPipe.create(join(this.#folder, 'bundle.js'));
    const bundle = JSON.stringify(join(this.#target, 'bundle.js'));
    this.#pipe = { pipe, content: `module.exports = require(${bundle});` };
    return script;
  }

  async #createHeldLoading(state: ProgramState): Promise<Environment> {
    if (state !== 'loading') return {};
    const path = join(this.#folder, 'loading');
    this.#pipe = { pipe: await NamedPipe.create(path), content: '' };
    return { NODE_OPTIONS: `--require ${HOLD_LOADING}`, HOLD_LOADING: path };
  }

  #startProcess(
    script: string,
    commandArguments: readonly string[],
    environment: Environment = {},
  ): void {
    this.#process = new ManagedProcess({
      name: this.#program,
      script,
      arguments: commandArguments,
      environment: { ...this.#environment, ...environment },
    });
  }

  async #waitUntilAnswering(address: string): Promise<void> {
    await waitUntil(`${address} answers`, START_TIMEOUT_MILLISECONDS, async () =>
      isAnswering(address),
    );
  }

  async #waitForOutput(text: string): Promise<void> {
    await waitUntil(`${this.#program} prints ${text}`, START_TIMEOUT_MILLISECONDS, async () =>
      this.process.output.includes(text),
    );
  }
}

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

/** A loaded machine may take seconds to start a program. */
const START_MILLISECONDS = 15_000;

/** Longer than a grace period of the platform, so that only a process that hangs is killed. */
const END_MILLISECONDS = 15_000;

const HOLD_LOADING = join(__dirname, 'holdLoading.cjs');

const daemonScript = require.resolve('@limpetnotch/server/bin/limpetnotchd.js');
const standInScript = require.resolve('@limpetnotch/stand-ins/dist/main.js');

const ENTRY_PORT = 8368;
const READINESS_PORT = 8369;
const PEER_PORT = 7780;

/** Nothing listens at the address of the store: the entry then answers 503. */
const settingsText = (host: string): string => `
nodeName = "frontend-a-1"
ipAddress = "${host}"
zone = "a"
internalPorts = [${PEER_PORT}, ${PEER_PORT}]
[listen]
frontend = "${host}:${ENTRY_PORT}"
readiness = "${host}:${READINESS_PORT}"
[bounds]
graceS = 8
[platform]
address = "${host}:8362"
`;

const BYTE = 256;
const FIRST_BYTE = 16;
const BYTES = 200;

let created = 0;

/** A loopback address of its own for each program, so that no other takes its ports. */
const nextHost = (): string => {
  created += 1;
  const high = FIRST_BYTE + (Math.floor(process.pid / BYTE) % BYTES);
  return `127.${high}.${process.pid % BYTE}.${created % BYTE}`;
};

const answers = async (address: string): Promise<boolean> => {
  const answer = await request(address);
  await answer.body.dump();
  return true;
};

/** Variables added to the environment of a process. */
type Environment = Readonly<Record<string, string>>;

/** A program as a process that can be brought to a state and held there. */
export class StagedProgram {
  readonly #program: ProgramName;

  readonly #folder: string;

  readonly #host = nextHost();

  readonly #target: string;

  #process: ManagedProcess | undefined;

  #store: StoreStandIn | undefined;

  #silentStore: Server | undefined;

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

  /** `target` is the folder of the bundled programs. */
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

  /** Address at which callers come in. */
  get address(): string {
    return `http://${this.#host}:${ENTRY_PORT}`;
  }

  /** Starts the program and resolves when it is in the state. */
  async reach(state: ProgramState): Promise<void> {
    await this.#start(state);
    switch (state) {
      case 'loading':
        await this.#pipe?.pipe.untilRead();
        return;
      case 'starting':
        await this.#untilStarting();
        return;
      case 'serving':
        await this.untilServing();
        return;
      case 'reloading':
        await this.untilServing();
        await this.#holdSettings();
        this.process.signal('SIGHUP');
        await this.#pipe?.pipe.untilRead();
        return;
      case 'draining':
      case 'ended':
        await this.untilServing();
        this.process.signal('SIGTERM');
        if (this.#program === 'entry') await this.#untilPrinted('gateway.draining');
        if (this.#program === 'limpetnotchd') await this.#untilPrinted('instance.draining');
        return;
      default:
        state satisfies never;
    }
  }

  /** Lets a held program go on; the next reader of its settings finds a file. */
  async release(): Promise<void> {
    if (this.#program === 'entry') await this.#writeSettings();
    await this.#pipe?.pipe.release(this.#pipe.content);
    this.#pipe = undefined;
  }

  async untilServing(): Promise<void> {
    switch (this.#program) {
      case 'entry':
        await this.#untilAnswering(`http://${this.#host}:${READINESS_PORT}`);
        return;
      case 'limpetnotchd':
        await this.#untilAnswering(`${this.address}/healthz/live`);
        return;
      case 'storage':
        await this.#untilPrinted('storage.started');
        return;
      case 'stand-in':
        await this.#untilPrinted('"ready":true');
        return;
      default:
        this.#program satisfies never;
    }
  }

  /** Resolves when the process has ended, which is killed if it hangs. */
  async untilEnded(): Promise<void> {
    const timer = setTimeout(() => this.process.signal('SIGKILL'), END_MILLISECONDS);
    await this.process.exited();
    clearTimeout(timer);
  }

  async close(): Promise<void> {
    await this.#process?.kill();
    await this.#store?.stop();
    this.#silentStore?.close();
    await rm(this.#folder, { recursive: true });
  }

  /** Whether the program stays in its state until it is told to stop. */
  get cannotServe(): boolean {
    return this.#silentStore !== undefined;
  }

  async #start(state: ProgramState): Promise<void> {
    switch (this.#program) {
      case 'entry':
        await this.#startEntry(state);
        return;
      case 'storage':
        this.#run(join(this.#target, 'storage.js'), []);
        return;
      case 'limpetnotchd':
        await this.#startDaemon(state);
        return;
      case 'stand-in':
        this.#run(standInScript, ['tools'], await this.#heldLoading(state));
        return;
      default:
        this.#program satisfies never;
    }
  }

  async #startEntry(state: ProgramState): Promise<void> {
    if (state === 'starting') await this.#holdSettings();
    else await this.#writeSettings();
    const isHeld = state === 'loading';
    const script = isHeld ? await this.#heldBundle() : join(this.#target, 'main.js');
    this.#run(script, ['serve', '--settings', this.#settingsPath]);
  }

  async #startDaemon(state: ProgramState): Promise<void> {
    const storePort = await (state === 'starting' ? this.#startSilentStore() : this.#startStore());
    this.#run(
      daemonScript,
      [
        ...['--instance', 'entry-1', '--availability-zone', 'zone-a'],
        ...['--entry-host', this.#host, '--entry-port', String(ENTRY_PORT)],
        ...['--peer-host', this.#host, '--peer-port', String(PEER_PORT)],
        ...['--store', `http://127.0.0.1:${storePort}`],
        ...['--lease-seconds', '1', '--drain-seconds', '1'],
      ],
      await this.#heldLoading(state),
    );
  }

  async #startStore(): Promise<number> {
    this.#store = new StoreStandIn();
    return this.#store.start();
  }

  /** A store that accepts connections and never answers. */
  async #startSilentStore(): Promise<number> {
    const server = createServer((socket) => socket.on('error', () => undefined));
    this.#silentStore = server;
    await once(server.listen(0, '127.0.0.1'), 'listening');
    return (server.address() as AddressInfo).port;
  }

  async #writeSettings(): Promise<void> {
    const path = join(this.#folder, 'written.toml');
    await writeFile(path, settingsText(this.#host));
    await rename(path, this.#settingsPath);
  }

  async #untilStarting(): Promise<void> {
    if (this.#silentStore) await once(this.#silentStore, 'connection');
    else await this.#pipe?.pipe.untilRead();
  }

  get #settingsPath(): string {
    return join(this.#folder, 'node.toml');
  }

  async #holdSettings(): Promise<void> {
    const pipe = await NamedPipe.create(join(this.#folder, 'held.toml'));
    await rename(join(this.#folder, 'held.toml'), this.#settingsPath);
    this.#pipe = { pipe: pipe.at(this.#settingsPath), content: settingsText(this.#host) };
  }

  /** A copy of the launcher whose bundle waits to be read. */
  async #heldBundle(): Promise<string> {
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

  async #heldLoading(state: ProgramState): Promise<Environment> {
    if (state !== 'loading') return {};
    const path = join(this.#folder, 'loading');
    this.#pipe = { pipe: await NamedPipe.create(path), content: '' };
    return { NODE_OPTIONS: `--require ${HOLD_LOADING}`, HOLD_LOADING: path };
  }

  #run(script: string, words: readonly string[], environment: Environment = {}): void {
    this.#process = new ManagedProcess({
      name: this.#program,
      script,
      arguments: words,
      environment: { ...this.#environment, ...environment },
    });
  }

  async #untilAnswering(address: string): Promise<void> {
    await waitUntil(`${address} answers`, START_MILLISECONDS, async () => answers(address));
  }

  async #untilPrinted(text: string): Promise<void> {
    await waitUntil(`${this.#program} prints ${text}`, START_MILLISECONDS, async () =>
      this.process.output.includes(text),
    );
  }
}

/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { createFolder, createHosts, SystemProcess, untilReady } from './system.mjs';
import { Runner } from './runner.mjs';
import { Store } from './store.mjs';

const ROUTE = {
  host: 'shop.example',
  timeoutMs: 4_000,
  targetLatencyMs: 200,
  priority: 0,
  attempts: 1,
  retainContext: false,
  retentionS: 60,
  allowAnonymous: false,
  stickySessions: false,
  allowResume: false,
  gapTargetMs: 200,
};

const LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

export const HOST_NAME = ROUTE.host;

/** A small deployment: the project's processes, with stand-ins of the store and the runners. */
export class Deployment {
  store = new Store();

  runners = [];

  processes = [];

  #folder = createFolder();

  #hostOf = createHosts();

  #version = 0;

  #others = [];

  #hosts = 0;

  /** Writes the next version of the configuration. */
  configure({ routes, services, tenants }) {
    this.#version += 3;
    this.store.put('op/config', {
      version: this.#version,
      routes: routes.map((route) => ({ ...ROUTE, pathPrefix: `/${route.name}/`, ...route })),
      services: services.map((service) => ({
        healthPath: '/health',
        connectionLimit: 180,
        ...service,
      })),
      limits: LIMITS,
      ...(tenants && { tenants }),
    });
  }

  async addRunner(options) {
    const runner = new Runner(options);
    await runner.start();
    this.runners.push(runner);
    this.store.put(`servers/${runner.id}`, runner.entry);
    return runner;
  }

  /** Creates a process, which is not started yet; `storePort` is the store's own by default. */
  async createProcess({ name, role, zone, storePort, memoryMb }) {
    this.#hosts += 1;
    const host = this.#hostOf(this.#hosts);
    const process = new SystemProcess({
      name,
      role,
      zone,
      host,
      storePort: storePort ?? (await this.store.open()),
      folder: this.#folder.path,
      memoryMb,
    });
    this.processes.push(process);
    return process;
  }

  /** Starts processes together; resolves to whether all entries among them became ready. */
  async start(processes, isBootstrap) {
    processes.forEach((process) => process.start(isBootstrap));
    const entries = processes.filter(({ role }) => role === 'entry');
    const ready = await Promise.all(entries.map((entry) => untilReady(entry)));
    return ready.every(Boolean);
  }

  /** Closes something else at the end. */
  closeLater(other) {
    this.#others.push(other);
  }

  async close() {
    await Promise.all(this.processes.map((process) => process.stop()));
    this.runners.forEach((runner) => runner.close());
    await Promise.all(this.#others.map((other) => other.close()));
    this.store.close();
    this.#folder.close();
  }
}

import type { LinkMode, TargetRun } from '@limpetnotch/stand-ins';
import { platformConfiguration, PlatformStoreStandIn, TargetLinks } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { RepeatingCallerOptions } from '../crashing-request/repeatingCaller';
import { CRASH_WORK, RepeatingCaller } from '../crashing-request/repeatingCaller';
import { waitUntil } from '../fleet/waitUntil';
import { Balancer } from './balancer';
import type { Lifetime } from './lifetime';
import type { InstanceCut, SoakFault } from './soakFault';
import { SoakInstance } from './soakInstance';
import type { SoakRoute } from './soakRoutes';
import { createAddedRoute, ENGINE_SERVICE, PLAIN_SERVICE, SOAK_ROUTES } from './soakRoutes';
import { SoakTarget } from './soakTarget';

const HOST = 'soak.example';
/** One organisation has a rate limit, which the instances share, and one has none. */
const ORGANISATIONS = [
  { name: 'rated', key: 'key-rated', isRated: true },
  { name: 'unlimited', key: 'key-unlimited', isRated: false },
];
const AVAILABILITY_ZONES = ['zone-a', 'zone-b', 'zone-c'];
const TARGETS_PER_SERVICE = 4;
const PLAIN_SLOTS = 6;
const ENGINE_SLOTS = 8;
/** The platform's limit for applying a configuration. */
const APPLY_CONFIGURATION_MILLISECONDS = 2_000;
const START_TIMEOUT_MILLISECONDS = 20_000;

/** What a repeating caller sends, with the route's name. */
interface RepeatingCallerRequest extends Pick<
  RepeatingCallerOptions,
  'name' | 'work' | 'signal' | 'firstInstance'
> {
  readonly route: string;
}

/** Options of {@link SoakFleet.start}. */
export interface SoakFleetOptions {
  readonly instances: number;
  readonly graceSeconds: number;
  /** Script of the entry program. */
  readonly program: string;
  /** Folder of the settings files. */
  readonly folder: string;
  readonly record: (run: TargetRun) => void;
  /** Whether instances reach targets over links that can be cut. */
  readonly hasLinks?: boolean;
  /** Software versions of the targets of each service, repeated; `v1` if omitted. */
  readonly versions?: readonly string[];
}

const getAvailabilityZone = (index: number): string =>
  AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length] ?? '';

let fleetCount = 0;

/** Returns a function from index to loopback address; no concurrent fleet uses the same ones. */
const createAddresses = (): ((index: number) => string) => {
  fleetCount += 1;
  const network = process.pid + fleetCount * 1_009;
  return (index) => `127.${1 + (network % 250)}.${Math.floor(network / 250) % 250}.${index + 1}`;
};

/** Links of one instance, and the port at which the store tells it their addresses. */
interface LinkedStorePort {
  readonly links: TargetLinks;
  readonly storePort: number;
}

const createLinks = async (
  store: PlatformStoreStandIn,
  hasLinks = false,
): Promise<LinkedStorePort> => {
  const links = new TargetLinks();
  if (!hasLinks) return { links, storePort: store.server.port };
  const storePort = await store.addView((address) => links.addressOf(address));
  return { links, storePort };
};

/** Instance processes with stand-ins of their store and targets. */
export class SoakFleet {
  /** Host name and API keys that callers send. */
  readonly access = { host: HOST, keys: ORGANISATIONS.map(({ key }) => key) };

  readonly instances: readonly SoakInstance[];

  readonly targets: readonly SoakTarget[];

  readonly balancer: Balancer;

  /** Callers whose request crashes its targets. */
  readonly crashingCallers: RepeatingCaller[] = [];

  readonly #store: PlatformStoreStandIn;

  /** Links to the targets, one set for each instance. */
  readonly #links: readonly TargetLinks[];

  #routes: readonly SoakRoute[] = SOAK_ROUTES;

  #appliedRoutes: readonly SoakRoute[] = SOAK_ROUTES;

  #version = 0;

  #isStopped = false;

  private constructor(
    options: SoakFleetOptions,
    store: PlatformStoreStandIn,
    links: readonly LinkedStorePort[],
  ) {
    this.#store = store;
    this.#links = links.map((one) => one.links);
    const addressOf = createAddresses();
    this.instances = links.map(({ storePort }, index) => {
      const place = { host: addressOf(index), availabilityZone: getAvailabilityZone(index) };
      return new SoakInstance({ ...options, ...place, name: `instance-${index}`, storePort });
    });
    this.targets = [PLAIN_SERVICE, ENGINE_SERVICE].flatMap((service) =>
      Array.from({ length: TARGETS_PER_SERVICE }, (_, index) => {
        const isStreaming = service === ENGINE_SERVICE;
        const slots = isStreaming ? ENGINE_SLOTS : PLAIN_SLOTS;
        const availabilityZone = getAvailabilityZone(index);
        const name = `${service}-${index}`;
        const { record, versions = ['v1'] } = options;
        const version = versions[index % versions.length] ?? '';
        return new SoakTarget({
          name,
          version,
          service,
          slots,
          isStreaming,
          availabilityZone,
          store,
          record,
        });
      }),
    );
    this.balancer = new Balancer(this.instances);
  }

  /** Starts all parts; resolves when every instance is in rotation. */
  static async start(options: SoakFleetOptions): Promise<SoakFleet> {
    const store = new PlatformStoreStandIn();
    await store.server.start();
    const links = await Promise.all(
      Array.from({ length: options.instances }, () => createLinks(store, options.hasLinks)),
    );
    const fleet = new SoakFleet(options, store, links);
    fleet.#publishConfiguration();
    await Promise.all(fleet.targets.map((target) => target.start()));
    await Promise.all(fleet.instances.map((instance) => instance.start()));
    fleet.balancer.start();
    await waitUntil(
      'every instance is ready',
      START_TIMEOUT_MILLISECONDS,
      async () => fleet.balancer.inRotation.length === fleet.instances.length,
    );
    return fleet;
  }

  /** Routes that callers use. */
  get routes(): readonly SoakRoute[] {
    return this.#appliedRoutes;
  }

  /** Returns when a target incarnation ended; undefined while it runs. */
  targetEndedAt(id: string): number | undefined {
    return this.targets.map(({ incarnations }) => incarnations.get(id)).find(Boolean)?.endedAt;
  }

  /** Returns the output of a process. */
  getOutput(lifetime: Lifetime): string {
    return this.instances.map((instance) => instance.getOutput(lifetime)).join('');
  }

  /** Creates a caller that repeats one request, to each instance in turn. */
  createRepeatingCaller({ route: name, ...options }: RepeatingCallerRequest): RepeatingCaller {
    const route = SOAK_ROUTES.find((one) => one.name === name);
    if (!route) throw new Error(`no route ${name}`);
    return new RepeatingCaller({
      ...options,
      route,
      hosts: this.instances.map(({ host }) => host),
      host: this.access.host,
      key: this.access.keys[0] ?? '',
    });
  }

  /** Applies a fault; resolves when it has ended. */
  async apply(fault: SoakFault): Promise<void> {
    switch (fault.kind) {
      case 'signal':
        await this.instances[fault.instance]?.signal(fault.signal);
        return;
      case 'signal-at-start':
        await this.instances[fault.instance]?.signalAtStart(
          fault.signal,
          fault.processorMilliseconds,
        );
        return;
      case 'settings':
        await this.instances[fault.instance]?.changeSettings();
        return;
      case 'target-mode':
        this.targets[fault.target]?.setMode(fault.mode);
        return;
      case 'target-limit':
        this.targets[fault.target]?.setLimit(fault.requestsPerSecond);
        return;
      case 'target-crash':
        await this.targets[fault.target]?.crash(fault.awayMilliseconds, fault.keepsAddress);
        return;
      case 'target-leave':
        await this.targets[fault.target]?.leave(fault.awayMilliseconds, fault.keepsAddress);
        return;
      case 'instance-cut':
        await this.#cutInstances(fault);
        return;
      case 'configuration':
        this.#routes = [...this.#routes, createAddedRoute(this.#version + 1)];
        this.#publishConfiguration();
        await delay(APPLY_CONFIGURATION_MILLISECONDS);
        this.#appliedRoutes = this.#routes;
        return;
      case 'crashing-request':
        await this.#repeatCrashingRequest(fault.route, fault.forMilliseconds);
        return;
      default:
        fault satisfies never;
    }
  }

  /** Stops the instances as the platform does, then the targets and the store. */
  async stop(): Promise<void> {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.balancer.stop();
    await Promise.all(this.instances.map((instance) => instance.stop()));
    await Promise.all(this.targets.map((target) => target.stop()));
    await Promise.all(this.#links.map((links) => links.stop()));
    await this.#store.server.stop();
  }

  async #cutInstances({ instances, mode, forMilliseconds }: InstanceCut): Promise<void> {
    const setMode = async (linkMode: LinkMode): Promise<void> => {
      const links = this.#links.filter((_, instance) => instances.includes(instance));
      await Promise.all(links.map((one) => one.setMode(linkMode)));
    };
    const span = { mode, from: performance.now(), to: Infinity };
    instances.forEach((index) => this.instances[index]?.cuts.push(span));
    await setMode(mode);
    await delay(forMilliseconds);
    if (!this.#isStopped) await setMode('open');
    span.to = performance.now();
  }

  async #repeatCrashingRequest(route: string, milliseconds: number): Promise<void> {
    const end = new AbortController();
    const name = `crashing${this.crashingCallers.length}`;
    const caller = this.createRepeatingCaller({
      name,
      route,
      work: CRASH_WORK,
      signal: end.signal,
    });
    this.crashingCallers.push(caller);
    setTimeout(() => end.abort(), milliseconds);
    await caller.run();
  }

  /** Publishes a new configuration version with all routes so far. */
  #publishConfiguration(): void {
    this.#version += 1;
    const configuration = platformConfiguration({
      version: this.#version,
      host: HOST,
      routes: this.#routes,
      services: [{ name: PLAIN_SERVICE }, { name: ENGINE_SERVICE, engineSlots: ENGINE_SLOTS }],
      organisations: ORGANISATIONS,
    });
    this.#store.configure(configuration);
  }
}

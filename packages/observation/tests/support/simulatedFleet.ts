import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { PrefixListener } from '@limpetnotch/store';
import { followPrefix } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { KnownPrefix, RelayMessage } from '../../src/relayMessage';
import { SharedObservation } from '../../src/sharedObservation';
import type { LinkState } from './linkState';
import { rankNames } from './rankNames';
import { SimulatedStore } from './simulatedStore';

export const BOUND_MILLISECONDS = 2_000;

const PRESENCE_PREFIX = 'limpetnotch/instances/';
const HELD_CHECK_MILLISECONDS = 10;
const TRANSIT_MILLISECONDS = 1;

/** One process of an instance. */
export interface SimulatedInstance {
  readonly name: string;
  readonly startedAtMilliseconds: number;
  /** What the process acts on: entries under `op/` and `servers/`. */
  readonly known: Map<string, { readonly value: string; readonly revision: number }>;
  /** Undefined if it is of a build that can't relay, and reads for itself. */
  readonly observation: SharedObservation | undefined;
  readonly stopping: AbortController;
}

/** Instances that observe a store together, over links that may be cut. */
export class SimulatedFleet {
  readonly store = new SimulatedStore();

  readonly instances = new Map<string, SimulatedInstance>();

  /** Links that are not up: `name` to the store, `name/name` between instances. */
  readonly links = new Map<string, LinkState>();

  readonly violations: string[] = [];

  linkOf(one: string, other = 'store'): LinkState {
    const key = other === 'store' ? one : [one, other].sort().join('/');
    return this.links.get(key) ?? 'up';
  }

  setLink(one: string, other: string, state: LinkState): void {
    const key = other === 'store' ? one : [one, other].sort().join('/');
    if (state === 'up') this.links.delete(key);
    else this.links.set(key, state);
  }

  start(name: string, zone: string, canRelay = true): SimulatedInstance {
    const client = this.store.createClient(name, () => this.linkOf(name));
    const observation = canRelay ? this.#createObservation(name, zone, client) : undefined;
    const instance: SimulatedInstance = {
      name,
      startedAtMilliseconds: performance.now(),
      known: new Map(),
      observation,
      stopping: new AbortController(),
    };
    this.instances.set(name, instance);
    const { signal } = instance.stopping;
    const follow = (options: Parameters<SharedObservation['follow']>[0]): void => {
      void (observation?.follow(options) ?? followPrefix({ ...options, store: client }));
    };
    const bounded = { signal, silenceMilliseconds: 3_000, pauseMilliseconds: 100 };
    ['op/', 'servers/'].forEach((prefix) =>
      follow({
        ...bounded,
        prefix,
        listener: this.#createListener(instance, prefix),
        boundMilliseconds: BOUND_MILLISECONDS,
      }),
    );
    follow({
      signal,
      silenceMilliseconds: 15_000,
      pauseMilliseconds: 200,
      prefix: 'limpetnotch/',
      listener: this.#createPresenceListener(observation),
    });
    void observation?.task.run({ signal, ready: () => undefined });
    this.store.write(`${PRESENCE_PREFIX}${name}`, JSON.stringify({ zone, canRelay }));
    return instance;
  }

  /** Ends a process; its presence stays until its lease ends. */
  stop(name: string): void {
    this.instances.get(name)?.stopping.abort();
    this.instances.delete(name);
  }

  expirePresence(name: string): void {
    this.store.write(`${PRESENCE_PREFIX}${name}`, undefined);
  }

  announce(name: string, zone: string): void {
    const value = JSON.stringify({ zone, canRelay: true });
    this.store.write(`${PRESENCE_PREFIX}${name}`, value);
  }

  #createObservation(
    name: string,
    zone: string,
    client: ReturnType<SimulatedStore['createClient']>,
  ): SharedObservation {
    return new SharedObservation({
      store: client,
      instance: name,
      availabilityZone: zone,
      source: {
        observe: (reader, known, signal) => this.#stream(name, reader, known, signal),
      },
      rank: rankNames,
      logger: silentLogger,
      metrics: new MemoryMetrics(),
    });
  }

  /** A stream whose messages are held up, in order, while the link is silent. */
  async *#stream(
    name: string,
    reader: string,
    known: readonly KnownPrefix[],
    signal: AbortSignal,
  ): AsyncGenerator<RelayMessage, void, undefined> {
    await this.#cross(name, reader, signal);
    const target = this.instances.get(reader);
    if (!target?.observation) throw new Error('unimplemented');
    const reading = AbortSignal.any([signal, target.stopping.signal]);
    for await (const message of target.observation.relay(known, reading)) {
      await this.#cross(name, reader, signal);
      if (reading.aborted) return;
      yield message;
    }
  }

  async #cross(one: string, other: string, signal: AbortSignal): Promise<void> {
    await delay(TRANSIT_MILLISECONDS, signal);
    while (this.linkOf(one, other) === 'silent' && !signal.aborted) {
      await delay(HELD_CHECK_MILLISECONDS, signal);
    }
    if (this.linkOf(one, other) === 'refused') throw new Error('refused');
  }

  #createListener(instance: SimulatedInstance, prefix: string): PrefixListener {
    const { known } = instance;
    let lastConfigurationRevision = 0;
    const put = (key: string, value: string, revision: number): void => {
      if (key === 'op/config') {
        if (revision < lastConfigurationRevision) {
          this.violations.push(`${instance.name}: the configuration went back to ${revision}`);
        }
        lastConfigurationRevision = revision;
      }
      known.set(key, { value, revision });
    };
    return {
      replaced: (entries) => {
        [...known.keys()]
          .filter((key) => key.startsWith(prefix))
          .forEach((key) => known.delete(key));
        entries.forEach(({ key, value, revision }) => put(key, value, revision));
      },
      put: ({ key, value, revision }) => put(key, value, revision),
      removed: (key) => known.delete(key),
      confirmed: () => undefined,
      lost: () => undefined,
    };
  }

  #createPresenceListener(observation: SharedObservation | undefined): PrefixListener {
    const present = new Map<string, { zone: string; canRelay: boolean }>();
    const update = (): void =>
      observation?.setFleet({
        size: present.size,
        present: [...present].map(([name, { zone, canRelay }]) => ({
          name,
          availabilityZone: zone,
          canRelay,
        })),
      });
    const nameOf = (key: string): string => key.slice(PRESENCE_PREFIX.length);
    return {
      replaced: (entries) => {
        present.clear();
        entries.forEach(({ key, value }) => present.set(nameOf(key), JSON.parse(value)));
        update();
      },
      put: ({ key, value }) => {
        present.set(nameOf(key), JSON.parse(value));
        update();
      },
      removed: (key) => {
        present.delete(nameOf(key));
        update();
      },
      confirmed: () => undefined,
      lost: () => undefined,
    };
  }
}

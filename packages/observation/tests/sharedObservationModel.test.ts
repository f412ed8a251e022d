import { findStaleKeys } from './support/findStaleKeys';
import type { LinkState } from './support/linkState';
import { BOUND_MILLISECONDS, SimulatedFleet } from './support/simulatedFleet';

const SIZE = 12;
const ZONES = 3;
const STEP_MILLISECONDS = 50;
const START_MILLISECONDS = 3_000;
const RUN_MILLISECONDS = 40_000;
const LEASE_MILLISECONDS = 5_000;
const TARGETS = 6;

/** Returns pseudo-random numbers from 0 up to 1, by a linear congruential generator. */
const createRandom = (seed: number): (() => number) => {
  let state = seed + 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
};

const nameOf = (index: number): string => `instance-${index}`;
const zoneOf = (index: number): string => `zone-${index % ZONES}`;

/** A fleet with random faults. */
class Model {
  readonly fleet = new SimulatedFleet();

  readonly checks = { connected: 0, following: 0 };

  readonly #random: () => number;

  readonly #ends: { readonly atMilliseconds: number; readonly run: () => void }[] = [];

  /** Time since which each instance is connected to the store without interruption. */
  readonly #connectedSince = new Map<string, number>();

  readonly #frozen = new Set<string>();

  #version = 0;

  constructor(seed: number) {
    this.#random = createRandom(seed);
  }

  async run(): Promise<void> {
    for (let index = 0; index < SIZE; index += 1) this.fleet.start(nameOf(index), zoneOf(index));
    await this.#advance(START_MILLISECONDS, false);
    await this.#advance(RUN_MILLISECONDS, true);
    this.fleet.instances.forEach(({ stopping }) => stopping.abort());
    await jest.advanceTimersByTimeAsync(5_000);
  }

  async #advance(milliseconds: number, hasFaults: boolean): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      if (this.#random() < 0.08) this.#writeConfiguration();
      if (this.#random() < 0.2) this.#changeTarget();
      if (hasFaults && this.#random() < 0.1) this.#startFault();
      this.#endFaults();
      await jest.advanceTimersByTimeAsync(STEP_MILLISECONDS);
      this.#check();
    }
  }

  #pick(count: number): number {
    return Math.floor(this.#random() * count);
  }

  #writeConfiguration(): void {
    this.#version += 1;
    this.fleet.store.write('op/config', String(this.#version));
  }

  #changeTarget(): void {
    const key = `servers/${this.#pick(TARGETS)}`;
    const value = this.#random() < 0.3 ? undefined : `state-${this.#pick(1_000)}`;
    this.fleet.store.write(key, value);
  }

  #after(milliseconds: number, run: () => void): void {
    this.#ends.push({ atMilliseconds: performance.now() + milliseconds, run });
  }

  #endFaults(): void {
    const due = this.#ends.filter(({ atMilliseconds }) => atMilliseconds <= performance.now());
    due.forEach((end) => {
      this.#ends.splice(this.#ends.indexOf(end), 1);
      end.run();
    });
  }

  #cut(one: string, other: string, milliseconds: number, state: LinkState): void {
    this.fleet.setLink(one, other, state);
    this.#after(milliseconds, () => this.fleet.setLink(one, other, 'up'));
  }

  #startFault(): void {
    const index = this.#pick(SIZE);
    const name = nameOf(index);
    const milliseconds = 200 + this.#pick(6_000);
    const state: LinkState = this.#random() < 0.5 ? 'silent' : 'refused';
    const names = Array.from({ length: SIZE }, (_value, other) => nameOf(other));
    switch (this.#pick(8)) {
      case 0:
      case 1:
        this.#cut(name, 'store', milliseconds, state);
        return;
      case 2:
        names.forEach((other) => this.#cut(name, other, milliseconds, state));
        return;
      case 3:
        // A frozen instance: neither the store nor the others get or send anything.
        this.#cut(name, 'store', milliseconds, 'silent');
        names.forEach((other) => this.#cut(name, other, milliseconds, 'silent'));
        this.#frozen.add(name);
        this.#after(milliseconds, () => this.#frozen.delete(name));
        return;
      case 4:
        this.#restart(index, milliseconds);
        return;
      case 5:
        if (this.#random() < 0.3) {
          names.forEach((other) => this.#cut(other, 'store', milliseconds / 2, state));
        }
        return;
      case 6:
        names
          .filter((_other, otherIndex) => zoneOf(otherIndex) === zoneOf(index))
          .forEach((other) => this.#cut(other, 'store', milliseconds, state));
        return;
      default:
        this.fleet.store.cutAllWatches();
    }
  }

  #restart(index: number, milliseconds: number): void {
    const name = nameOf(index);
    if (!this.fleet.instances.has(name)) return;
    this.fleet.stop(name);
    if (milliseconds > LEASE_MILLISECONDS) {
      this.#after(LEASE_MILLISECONDS, () => this.fleet.expirePresence(name));
    }
    // One in five is of an earlier version until it is restarted again.
    const canRelay = this.#random() < 0.8;
    this.#after(milliseconds, () => this.fleet.start(name, zoneOf(index), canRelay));
  }

  #check(): void {
    const now = performance.now();
    this.fleet.instances.forEach((instance) => {
      const { name, known, observation } = instance;
      // Watches of earlier versions may be silent for longer than the bound.
      if (!observation) return;
      if (this.fleet.linkOf(name) !== 'up' || this.#frozen.has(name)) {
        this.#connectedSince.set(name, now);
        return;
      }
      const since = Math.max(this.#connectedSince.get(name) ?? 0, instance.startedAtMilliseconds);
      if (now - since <= BOUND_MILLISECONDS) return;
      this.checks.connected += 1;
      if (observation.mode === 'follower') this.checks.following += 1;
      const stale = findStaleKeys(this.fleet.store.commits, known, BOUND_MILLISECONDS);
      if (stale.length === 0) return;
      this.fleet.violations.push(
        `${name} (${observation.mode}) at ${Math.round(now)}: ${stale.join()}`,
      );
    });
  }
}

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

// Guards against an instance that trusts relayed state longer than the bounds of the platform allow.
test.each(Array.from({ length: 12 }, (_value, seed) => seed))(
  'no connected instance acts on state older than the bound (seed %i)',
  async (seed) => {
    const model = new Model(seed);
    await model.run();
    expect(model.fleet.violations).toEqual([]);
    expect(model.checks.following).toBeGreaterThan(model.checks.connected / 10);
  },
  60_000,
);

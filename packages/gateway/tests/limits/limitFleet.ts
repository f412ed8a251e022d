import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { FleetState } from '../../src/fleet/fleetState';
import { FleetLimits } from '../../src/limits/fleetLimits';
import { TargetLimits } from '../../src/limits/targetLimits';
import { LimitGate } from '../../src/limits/limitGate';
import type { LimitMembership, LimitPeers } from '../../src/limits/limitPeers';
import { LimitSharing } from '../../src/limits/limitSharing';
import { MemberLists } from '../../src/limits/memberLists';
import type { FleetTarget } from '../../src/targets/fleetTarget';
import { platformLimits } from '../support/platformLimits';

/** Instances wait this long for each other. */
const DEADLINE_MILLISECONDS = 60;
/** The store confirms the list of members at least this often. */
const CONFIRMATION_MILLISECONDS = 3_500;

export interface LimitInstance {
  readonly name: string;
  readonly limits: TargetLimits;
  readonly gate: LimitGate;
  readonly sharing: LimitSharing;
  readonly lists: MemberLists;
  /** What the instance has read from the store. */
  readonly fleet: FleetState;
  readonly end: AbortController;
}

/** A target that names a limit and counts what arrives. */
export class CountingTarget {
  readonly arrivals: number[] = [];

  requestsPerSecond: number | undefined;

  constructor(readonly target: FleetTarget) {}
}

/** Instances in one process that share limits over a network that delays and loses messages. */
export class LimitFleet {
  readonly instances = new Map<string, LimitInstance>();

  /** Instances that reach no other instance, or not the store. */
  readonly cutFromPeers = new Set<string>();

  readonly cutFromStore = new Set<string>();

  /** Instances of an earlier build, which know no cold targets. */
  readonly earlierBuilds = new Set<string>();

  /** Calls for tokens so far. */
  tokenCalls = 0;

  lossProbability = 0;

  longestDelayMilliseconds = 2;

  #members: readonly string[];

  #revision = 1;

  /** Revision of the list that each instance has. */
  readonly #revisions = new Map<string, number>();

  readonly #cutSince = new Map<string, number>();

  readonly #random: SeededRandom;

  constructor(count: number, random: SeededRandom) {
    this.#random = random;
    this.#members = Array.from({ length: count }, (_value, index) => `i${index}`);
    this.#members.forEach((name) => this.start(name));
  }

  get names(): readonly string[] {
    return this.#members;
  }

  /** Starts an instance, or restarts it without what it knew. */
  start(name: string): void {
    this.instances.get(name)?.end.abort();
    const lists = new MemberLists();
    const parts = { logger: silentLogger, metrics: new MemoryMetrics() };
    const fleet = new FleetState();
    const common = {
      ...parts,
      fleet,
      bounds: platformLimits.bounds,
      peers: this.#peersOf(name),
      membership: this.#membershipOf(name, lists),
    };
    const {
      named: limits,
      gate,
      sharing,
    } = this.earlierBuilds.has(name) ? LimitFleet.#createEarlier(common) : new FleetLimits(common);
    const end = new AbortController();
    void sharing.task.run({ signal: end.signal, ready: () => undefined });
    this.instances.set(name, { name, limits, gate, sharing, lists, fleet, end });
    this.#record(name);
  }

  /** Creates the limits of an earlier build, which are only those that targets name. */
  static #createEarlier(
    parts: ConstructorParameters<typeof FleetLimits>[0],
  ): Pick<FleetLimits, 'named' | 'gate' | 'sharing'> {
    const named = new TargetLimits(parts);
    const gate = new LimitGate({ ...parts, limits: named });
    return { named, gate, sharing: new LimitSharing({ ...parts, limits: named, gate }) };
  }

  stop(): void {
    this.instances.forEach(({ end }) => end.abort());
  }

  /** Changes the list of members; instances that reach the store learn it soon. */
  async changeMembers(members: readonly string[]): Promise<void> {
    // A new instance reads the list before it joins.
    members.filter((name) => !this.instances.has(name)).forEach((name) => this.start(name));
    this.#members = members;
    this.#revision += 1;
    await Promise.all(
      [...this.instances.keys()].map(async (name) => {
        await delay(this.#random.integer(1, 200));
        if (!this.cutFromStore.has(name)) this.#record(name);
      }),
    );
  }

  cutOffStore(name: string): void {
    this.cutFromStore.add(name);
    this.#cutSince.set(name, performance.now());
  }

  reconnectStore(name: string): void {
    this.cutFromStore.delete(name);
    this.#cutSince.delete(name);
    this.#record(name);
  }

  /** Sends a request of an instance if the limit allows it; returns whether it was sent. */
  async send(name: string, counting: CountingTarget): Promise<boolean> {
    const instance = this.instances.get(name);
    if (!instance) return false;
    const decision = await instance.gate.acquire(counting.target);
    if (decision.kind === 'denied') return false;
    const sentAtMilliseconds = performance.now();
    counting.arrivals.push(sentAtMilliseconds);
    const { requestsPerSecond } = counting;
    await delay(this.#random.integer(5, 60));
    instance.limits.observe({
      target: counting.target,
      namedLimit:
        requestsPerSecond === undefined ? { kind: 'none' } : { kind: 'limited', requestsPerSecond },
      isSigned: true,
      request: 'r',
      sentAtMilliseconds,
    });
    return true;
  }

  #record(name: string): void {
    this.instances.get(name)?.lists.record(this.#members);
    this.#revisions.set(name, this.#revision);
  }

  #membershipOf(name: string, lists: MemberLists): LimitMembership {
    const isConfirmed = (): boolean =>
      performance.now() - (this.#cutSince.get(name) ?? Infinity) < CONFIRMATION_MILLISECONDS;
    const revision = (): number => this.#revisions.get(name) ?? 0;
    return {
      instance: name,
      get memberLists() {
        return lists.recent;
      },
      get membersRevision() {
        return revision();
      },
      get isConfirmed() {
        return isConfirmed();
      },
      noteRevision: () => undefined,
    };
  }

  #peersOf(name: string): LimitPeers {
    const others = (): readonly string[] =>
      [...this.instances.keys()].filter((other) => other !== name);
    return {
      get names() {
        return others();
      },
      takeTargetTokens: (other, request) => {
        this.tokenCalls += 1;
        return this.#call(name, other, ({ gate }) => gate.handleTokenRequest(request));
      },
      announceLimits: async (names, limits) => {
        await Promise.all(
          names.map((other) => this.#call(name, other, ({ sharing }) => sharing.receive(limits))),
        );
      },
      listLimits: (other) => this.#call(name, other, ({ sharing }) => sharing.list()),
    };
  }

  /** Calls another instance; the call may take effect although its response is late or lost. */
  async #call<Answer>(
    from: string,
    to: string,
    handle: (instance: LimitInstance) => Answer,
  ): Promise<Answer | undefined> {
    const isCut = this.cutFromPeers.has(from) || this.cutFromPeers.has(to);
    const delays = [0, 1].map(() => this.#random.integer(0, this.longestDelayMilliseconds));
    const [there = 0, back = 0] = delays;
    const isLostThere = isCut || this.#random.chance(this.lossProbability);
    const isLostBack = this.#random.chance(this.lossProbability);
    const instance = this.instances.get(to);
    await delay(Math.min(there, DEADLINE_MILLISECONDS));
    const answer = instance && !isLostThere ? handle(instance) : undefined;
    const isLate = there + back > DEADLINE_MILLISECONDS;
    if (isLostThere || isLostBack || isLate) {
      await delay(DEADLINE_MILLISECONDS - there);
      return undefined;
    }
    await delay(back);
    return answer;
  }
}

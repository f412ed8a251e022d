import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { chooseInformedPeers } from '../../src/budgets/chooseInformedPeers';
import { EscrowBudgets } from '../../src/budgets/escrowBudgets';
import { GrantMemory } from '../../src/budgets/grantMemory';
import type { Loan, LoanRequest } from '../../src/budgets/loan';
import { MemberListHistory } from '../../src/budgets/memberListHistory';
import { MemoryStore } from '../support/memoryStore';

/** Time after which a program without turns does not return. */
export const RETENTION_MILLISECONDS = 60_000;

interface Process {
  readonly budgets: EscrowBudgets;
  readonly lists: MemberListHistory;
  /** Until when the process was suspended. */
  readonly stall: { untilMilliseconds: number };
}

/** What is lost on the way from one instance to another. */
export type PeerCut = 'requests' | 'responses';

type ReachedPeer = readonly [
  name: string,
  budgets: EscrowBudgets,
  /** Whether its responses arrive. */
  isHeard: boolean,
];

/** Longer than a list of members takes to settle. */
const SETTLE_MILLISECONDS = 3_000;

const toName = (index: number): string => `i${index}`;

/** Instances in one process whose budgets share a store and query each other. */
export class BudgetFleet {
  readonly store = new MemoryStore();

  /** Indices of instances that respond to no peer. */
  readonly unresponsive = new Set<number>();

  /** Keys of the budgets that instances have announced, in order. */
  readonly announced: string[] = [];

  /** Number of requests for tokens between instances. */
  calls = 0;

  /** Number of questions for promises between instances. */
  questions = 0;

  /** Indices of instances that stand still: they neither respond nor observe anything. */
  readonly suspended = new Set<number>();

  /** Indices of instances that the others have removed from the members. */
  readonly removed = new Set<number>();

  /** What is lost between instances, by their indices, as in `0>1`. */
  readonly cuts = new Map<string, PeerCut>();

  /** Whether the first and the second half can't reach each other. */
  isSplit = false;

  readonly #processes: Process[] = [];

  #processCount = 0;

  #skippedMilliseconds = 0;

  /** Creates a fleet that has run for longer than its list of members takes to settle. */
  constructor(count: number) {
    // All test files of a worker share the object, so a mocked method would reach the next file if a
    // test of this one still ran at its end.
    const clock = performance;
    jest.replaceProperty(globalThis, 'performance', {
      ...clock,
      now: () => clock.now() + this.#skippedMilliseconds,
    });
    for (let index = 0; index < count; index += 1) this.#processes.push(this.#start(index, true));
    this.#recordMembers();
    this.settleMembers();
  }

  /** Skips the time in which a list of members settles. */
  settleMembers(): void {
    this.skip(SETTLE_MILLISECONDS);
  }

  /** Skips time; timers don't run meanwhile. */
  skip(milliseconds: number): void {
    this.#skippedMilliseconds += milliseconds;
  }

  get instances(): readonly EscrowBudgets[] {
    return this.#processes.map(({ budgets }) => budgets);
  }

  /** Removes a member that does not run, once the store is up. */
  remove(index: number): void {
    this.removed.add(index);
    this.#recordMembers();
  }

  /** Replaces an instance by a new process without any state. */
  restart(index: number): void {
    this.removed.delete(index);
    this.#processes[index] = this.#start(index, false);
    this.#recordMembers();
  }

  /** Adds an instance, which becomes a member if the store is up. */
  add(): void {
    this.#processes.push(this.#start(this.#processes.length, false));
    this.#recordMembers();
  }

  /** Starts an outage of the store, which the instances notice. */
  startOutage(): void {
    this.store.isDown = true;
    this.#observing.forEach(({ budgets }) => budgets.recordStoreLoss());
  }

  /** Ends an outage of the store: instances read the members and record their grants. */
  async endOutage(): Promise<void> {
    this.store.isDown = false;
    this.#recordMembers();
    await Promise.all(this.#observing.map(({ budgets }) => budgets.recordStoreRegained()));
  }

  /** Lets an instance run again that stood still. */
  async resume(index: number): Promise<void> {
    if (!this.suspended.delete(index)) return;
    const { stall, budgets } = this.#processes[index]!;
    stall.untilMilliseconds = performance.now();
    this.#recordMembers();
    if (!this.store.isDown) await budgets.recordStoreRegained();
  }

  /** Processes that run. */
  get #observing(): readonly Process[] {
    return this.#processes.filter(
      (_process, index) => !this.unresponsive.has(index) && !this.suspended.has(index),
    );
  }

  #recordMembers(): void {
    if (this.store.isDown) return;
    const names = this.#processes
      .map((_process, index) => index)
      .filter((index) => !this.removed.has(index))
      .map(toName);
    this.#observing.forEach(({ lists }) => lists.record(names));
  }

  #start(index: number, isFirstProcess: boolean): Process {
    this.#processCount += 1;
    const lists = new MemberListHistory();
    const stall = { untilMilliseconds: -Infinity };
    const budgets = new EscrowBudgets({
      store: this.store.client,
      logger: silentLogger,
      metrics: new MemoryMetrics(),
      instance: toName(index),
      memory: new GrantMemory(`${toName(index)}/${this.#processCount}`, isFirstProcess),
      peers: {
        releaseBudget: async (key, names) => {
          const peers = this.#peersOf(index, names);
          this.calls += peers.length;
          const replies = await Promise.all(
            peers.map(async ([name, peer, isHeard]) => {
              const released = await peer.release(key);
              return isHeard ? [{ name, ...released }] : [];
            }),
          );
          return replies.flat();
        },
        borrowBudget: (request, names) => this.#borrow(index, request, names),
        announceProgram: (key) => {
          this.announced.push(key);
          const names = this.#processes.map((_process, other) => toName(other));
          const informed = chooseInformedPeers(key, names.toSpliced(index, 1));
          this.#peersOf(index, informed).forEach(([, peer]) => peer.recordProgramStart(key));
        },
        listPromises: async (names) => {
          this.questions += names.length;
          return this.#peersOf(index, names).flatMap(([name, { promises }, isHeard]) =>
            isHeard ? [{ name, ...promises }] : [],
          );
        },
      },
      memberLists: lists,
      stoodStillUntil: () => stall.untilMilliseconds,
      programRetention: () => RETENTION_MILLISECONDS,
    });
    return { budgets, lists, stall };
  }

  #peersOf(index: number, names?: readonly string[]): readonly ReachedPeer[] {
    const half = this.#processes.length / 2;
    return this.instances.flatMap((budgets, other) => {
      const isReached = !this.isSplit || index < half === other < half;
      const isAsked = other !== index && (!names || names.includes(toName(other)));
      const isRunning = !this.unresponsive.has(other) && !this.suspended.has(other);
      const cut = this.cuts.get(`${index}>${other}`);
      return isAsked && isReached && isRunning && cut !== 'requests'
        ? [[toName(other), budgets, cut === undefined] as const]
        : [];
    });
  }

  /** Borrows from the reachable peers, as the connections between instances do. */
  async #borrow(index: number, request: LoanRequest, names?: readonly string[]): Promise<Loan> {
    let isKnown = false;
    const promisers: string[] = [];
    for (const [name, peer, isHeard] of this.#peersOf(index, names)) {
      this.calls += 1;
      const answer = await peer.lend(request);
      if (isHeard && answer.kind === 'lent') return { ...answer, lenders: [name] };
      if (isHeard && answer.kind === 'spent') return answer;
      if (isHeard && answer.kind === 'none') {
        isKnown ||= answer.isKnown;
        if (answer.isPromised) promisers.push(name);
      }
    }
    return { kind: 'none', isKnown, promisers };
  }
}

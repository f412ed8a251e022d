import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { EscrowBudgets } from '../../src/budgets/escrowBudgets';
import type { Loan, LoanRequest } from '../../src/budgets/loan';
import { MemoryStore } from '../support/memoryStore';

/** Instances in one process whose budgets share a store and query each other. */
export class BudgetFleet {
  readonly store = new MemoryStore();

  readonly instances: EscrowBudgets[];

  /** Indices of instances that respond to no peer. */
  readonly unresponsive = new Set<number>();

  /** Keys of the budgets that instances have announced, in order. */
  readonly announced: string[] = [];

  /** Whether the first and the second half can't reach each other. */
  isSplit = false;

  constructor(count: number) {
    this.instances = Array.from({ length: count }, (_value, index) => this.#start(index, true));
  }

  /** Replaces an instance by a new process without any state. */
  restart(index: number): void {
    this.instances[index] = this.#start(index, false);
  }

  #start(index: number, isFirstProcess: boolean): EscrowBudgets {
    return new EscrowBudgets({
      store: this.store.client,
      logger: silentLogger,
      metrics: new MemoryMetrics(),
      recall: async (key) => {
        await Promise.all(this.#peersOf(index).map((peer) => peer.release(key)));
      },
      borrow: (request) => this.#borrow(index, request),
      announce: (key) => {
        this.announced.push(key);
        this.#peersOf(index).forEach((peer) => peer.recordProgramStart(key));
      },
      isFirstProcess: () => isFirstProcess,
      memberCount: () => this.instances.length,
    });
  }

  #peersOf(index: number): readonly EscrowBudgets[] {
    const half = this.instances.length / 2;
    return this.instances.filter((_one, other) => {
      const isReached = !this.isSplit || index < half === other < half;
      return other !== index && isReached && !this.unresponsive.has(other);
    });
  }

  /** Borrows from the reachable peers, as the connections between instances do. */
  async #borrow(index: number, request: LoanRequest): Promise<Loan> {
    let mayHaveStarted = false;
    const peers = this.#peersOf(index);
    for (const peer of peers) {
      const answer = await peer.lend(request);
      if (answer.kind !== 'none') return answer;
      mayHaveStarted ||= answer.isKnown || !answer.isMemoryWhole;
    }
    return { kind: 'none', mayHaveStarted, responseCount: peers.length };
  }
}

import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { EscrowBudgets } from '../../src/budgets/escrowBudgets';
import type { Loan, LoanRequest } from '../../src/budgets/loan';
import { MemoryStore } from '../support/memoryStore';

/** Instances whose budgets share a store and ask each other, in one process. */
export class BudgetFleet {
  readonly store = new MemoryStore();

  readonly instances: EscrowBudgets[];

  /** Instances that answer nobody. */
  readonly silent = new Set<number>();

  /** Keys of budgets that instances announced, in order. */
  readonly announced: string[] = [];

  /** Whether the first and the second half don't reach each other. */
  isSplit = false;

  constructor(count: number) {
    this.instances = Array.from({ length: count }, (_value, index) => this.#start(index, true));
  }

  /** Replaces an instance by one that remembers nothing. */
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
        this.#peersOf(index).forEach((peer) => peer.noteBegun(key));
      },
      isFirstProcess: () => isFirstProcess,
      memberCount: () => this.instances.length,
    });
  }

  #peersOf(index: number): readonly EscrowBudgets[] {
    const half = this.instances.length / 2;
    return this.instances.filter((_one, other) => {
      const isReached = !this.isSplit || index < half === other < half;
      return other !== index && isReached && !this.silent.has(other);
    });
  }

  /** Asks as the connections between instances would. */
  async #borrow(index: number, request: LoanRequest): Promise<Loan> {
    let mayHaveBegun = false;
    const peers = this.#peersOf(index);
    for (const peer of peers) {
      const answer = await peer.lend(request);
      if (answer.kind !== 'none') return answer;
      mayHaveBegun ||= answer.isKnown || !answer.isMemoryWhole;
    }
    return { kind: 'none', mayHaveBegun, answers: peers.length };
  }
}

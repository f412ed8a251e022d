import { chooseStopped } from './chooseStopped';
import type { HoldingKind } from './holdingKind';
import type { HoldingRequest } from './ledgerHolding';
import { LedgerHolding } from './ledgerHolding';
import type { MemoryBounds } from './memoryBounds';

/** What is held at one moment. */
export interface LedgerReport {
  readonly totalBytes: number;
  readonly holdings: number;
  readonly kindBytes: Readonly<Record<HoldingKind, number>>;
  /** Source that holds the most. */
  readonly largestSource: string | undefined;
  readonly largestSourceBytes: number;
}

const createKindBytes = (): Record<HoldingKind, number> => ({
  request: 0,
  response: 0,
  peer: 0,
  cache: 0,
});

/** One accounting of the memory held for callers, targets, peers and caches. */
export class MemoryLedger {
  readonly #bounds: MemoryBounds;

  readonly #open = new Set<LedgerHolding>();

  readonly #kindBytes = createKindBytes();

  #totalBytes = 0;

  #lastSequence = 0;

  #stoppedCount = 0;

  constructor(bounds: MemoryBounds) {
    this.#bounds = bounds;
  }

  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Number of holdings that were stopped to free memory. */
  get stoppedCount(): number {
    return this.#stoppedCount;
  }

  /** Begins to account for memory; nothing is held until it is charged. */
  open(request: HoldingRequest): LedgerHolding {
    this.#lastSequence += 1;
    const holding = new LedgerHolding(request, this.#lastSequence, {
      hasRoom: (bytes) => this.hasRoom(request.kind, bytes),
      makeRoom: () => this.makeRoom(request.kind, 0),
      add: (bytes) => this.#add(request.kind, bytes),
      remove: (closed) => this.#open.delete(closed),
    });
    this.#open.add(holding);
    return holding;
  }

  /** Whether so many more bytes of a kind stay within the bounds. */
  hasRoom(kind: HoldingKind, bytes: number): boolean {
    return this.#excessOf(kind, bytes) <= 0;
  }

  /** Stops holdings until so many more bytes of a kind fit; returns whether they do. */
  makeRoom(kind: HoldingKind, bytes: number): boolean {
    const excessOfKind = this.#kindBytes[kind] + bytes - this.#bounds.kindBytes[kind];
    if (excessOfKind > 0) this.#stopSome(excessOfKind, kind);
    const excess = this.#totalBytes + bytes - this.#bounds.totalBytes;
    if (excess > 0) this.#stopSome(excess, undefined);
    return this.hasRoom(kind, bytes);
  }

  report(): LedgerReport {
    const sums = new Map<string, number>();
    [...this.#open].forEach(({ source, bytes }) =>
      sums.set(source, (sums.get(source) ?? 0) + bytes),
    );
    const [largest] = [...sums].sort(([, one], [, other]) => other - one);
    return {
      totalBytes: this.#totalBytes,
      holdings: this.#open.size,
      kindBytes: { ...this.#kindBytes },
      largestSource: largest?.[0],
      largestSourceBytes: largest?.[1] ?? 0,
    };
  }

  #excessOf(kind: HoldingKind, bytes: number): number {
    return Math.max(
      this.#kindBytes[kind] + bytes - this.#bounds.kindBytes[kind],
      this.#totalBytes + bytes - this.#bounds.totalBytes,
    );
  }

  #stopSome(excessBytes: number, kind: HoldingKind | undefined): void {
    const holdings = [...this.#open].filter((one) => kind === undefined || one.kind === kind);
    const { sourceBytes } = this.#bounds;
    chooseStopped({ holdings, excessBytes, sourceBytes }).forEach((holding) => {
      this.#stoppedCount += 1;
      holding.stop();
    });
  }

  #add(kind: HoldingKind, bytes: number): void {
    this.#kindBytes[kind] += bytes;
    this.#totalBytes += bytes;
  }
}

import type { Holding } from './holding';
import type { HoldingKind } from './holdingKind';

/** Description of memory that begins to be held. */
export interface HoldingRequest {
  readonly kind: HoldingKind;
  readonly source: string;
  /** Whether the memory belongs to a request that is running, which is never ended. */
  readonly isRunning: () => boolean;
  /** Frees the memory; called at most once, after the holding has been closed. */
  readonly stop: () => void;
}

/** The account that a holding belongs to. */
export interface HoldingAccount {
  hasRoom(bytes: number): boolean;
  makeRoom(): void;
  add(bytes: number): void;
  /** Returns whether the holding was open. */
  remove(holding: LedgerHolding): boolean;
}

/** Memory that is held, as an account of it sees it. */
export class LedgerHolding implements Holding {
  readonly kind: HoldingKind;

  readonly source: string;

  readonly sequence: number;

  readonly #request: HoldingRequest;

  readonly #account: HoldingAccount;

  #bytes = 0;

  #isOpen = true;

  constructor(request: HoldingRequest, sequence: number, account: HoldingAccount) {
    this.#request = request;
    this.#account = account;
    this.kind = request.kind;
    this.source = request.source;
    this.sequence = sequence;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get isRunning(): boolean {
    return this.#request.isRunning();
  }

  /** Whether it was neither closed nor stopped. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Adds bytes; stops other holdings, or this one, if they exceed the bounds. */
  charge(bytes: number): void {
    if (!this.#isOpen) return;
    this.#add(bytes);
    this.#account.makeRoom();
  }

  /** Adds bytes only if they are within the bounds; returns whether they are. */
  tryCharge(bytes: number): boolean {
    if (!this.#isOpen || !this.#account.hasRoom(bytes)) return false;
    this.#add(bytes);
    return true;
  }

  release(bytes: number): void {
    if (this.#isOpen) this.#add(-Math.min(bytes, this.#bytes));
  }

  /** Ends the holding without stopping it; further calls have no effect. */
  close(): void {
    if (!this.#account.remove(this)) return;
    this.#isOpen = false;
    this.#add(-this.#bytes);
  }

  /** Ends the holding and frees its memory. */
  stop(): void {
    this.close();
    this.#request.stop();
  }

  #add(bytes: number): void {
    this.#bytes += bytes;
    this.#account.add(bytes);
  }
}

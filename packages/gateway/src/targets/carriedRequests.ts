/** Requests remembered; a late copy precedes one of the next responses on its connection. */
const CAPACITY = 64;

/** The last requests sent over one connection, by the hashes of their identifiers. */
export class CarriedRequests {
  readonly #idHashes: number[] = [];

  #next = 0;

  add(idHash: number): void {
    this.#idHashes[this.#next] = idHash;
    this.#next = (this.#next + 1) % CAPACITY;
  }

  /** Whether a request was sent; rarely true for one that was not, as hashes may be equal. */
  mayInclude(idHash: number): boolean {
    return this.#idHashes.includes(idHash);
  }
}

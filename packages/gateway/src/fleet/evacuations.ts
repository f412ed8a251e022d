/** Availability zones whose targets get no requests, as operators have written it to the store. */
export class Evacuations {
  #zones: ReadonlySet<string> = new Set();

  /** Evacuated availability zones. */
  get zones(): ReadonlySet<string> {
    return this.#zones;
  }

  /** Whether requests may not be sent to targets of an availability zone. */
  has(availabilityZone: string): boolean {
    return this.#zones.has(availabilityZone);
  }

  /** Replaces all evacuations after a complete listing of the store. */
  replaceAll(zones: Iterable<string>): void {
    this.#zones = new Set(zones);
  }

  start(availabilityZone: string): void {
    this.#zones = new Set([...this.#zones, availabilityZone]);
  }

  end(availabilityZone: string): void {
    this.#zones = new Set([...this.#zones].filter((zone) => zone !== availabilityZone));
  }
}

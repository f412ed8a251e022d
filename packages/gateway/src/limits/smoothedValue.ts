/** Mean of a value over recent time, in which newer samples count more. */
export class SmoothedValue {
  readonly #averageMilliseconds: number;

  #value: number | undefined;

  #sampledAtMilliseconds = 0;

  constructor(averageMilliseconds: number) {
    this.#averageMilliseconds = averageMilliseconds;
  }

  /** The mean; undefined before the first sample. */
  get value(): number | undefined {
    return this.#value;
  }

  /** Adds a sample that holds since the previous one. */
  sample(value: number): void {
    const now = performance.now();
    const weight = 1 - Math.exp((this.#sampledAtMilliseconds - now) / this.#averageMilliseconds);
    this.#value = this.#value === undefined ? value : this.#value + (value - this.#value) * weight;
    this.#sampledAtMilliseconds = now;
  }
}

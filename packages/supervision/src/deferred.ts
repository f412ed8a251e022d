/** A promise with its settling functions, for results that come from another task. */
export class Deferred<Value = undefined> {
  readonly promise: Promise<Value>;

  #resolve: (value: Value) => void = () => undefined;

  #reject: (reason: Error) => void = () => undefined;

  constructor() {
    this.promise = new Promise<Value>((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    // A rejection that nobody waits for yet must not end the process as unhandled.
    this.promise.catch(() => undefined);
  }

  resolve(value: Value): void {
    this.#resolve(value);
  }

  reject(reason: Error): void {
    this.#reject(reason);
  }
}

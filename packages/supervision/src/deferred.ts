/** A promise that is resolved or rejected from outside, for results of another task. */
export class Deferred<Value = undefined> {
  readonly promise: Promise<Value>;

  #resolve: (value: Value) => void = () => undefined;

  #reject: (reason: Error) => void = () => undefined;

  constructor() {
    this.promise = new Promise<Value>((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    // A rejection without a handler yet must not end the process as an unhandled rejection.
    this.promise.catch(() => undefined);
  }

  resolve(value: Value): void {
    this.#resolve(value);
  }

  reject(reason: Error): void {
    this.#reject(reason);
  }
}

/** A value and the key under which it is written. */
export interface StorageKeyedValue {
  readonly key: string;
  readonly value: string;
}

/** Progress of the retirement of a storage instance. */
export type RetirementState = 'running' | 'done';

/** Translates between the platform's store entries and retirements of storage instances. */
export interface StorageCodec {
  /** Key prefix of the requests to retire an instance. */
  readonly retirementPrefix: string;
  /** Returns the name of the instance that a request names; `undefined` for any other key. */
  retiringInstanceOf(key: string): string | undefined;
  encodeRetirement(instance: string, state: RetirementState): StorageKeyedValue;
}

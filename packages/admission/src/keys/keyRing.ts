import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, KeySpec } from '@limpetnotch/declarations';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdmissionError } from '../admissionError';
import type { KeyIdentity } from '../keyIdentity';

const DIGEST_PREFIX = 'sha256:';
const BUCKET_BYTES = 4;
const FINGERPRINT_DIGITS = 16;

interface RingKey {
  readonly digest: Buffer;
  readonly identity: KeyIdentity;
  readonly active: boolean;
}

const computeDigest = (secret: string): Buffer =>
  createHash('sha256').update(secret, 'utf8').digest();

const getBucketNumber = (digest: Buffer): number => digest.readUIntBE(0, BUCKET_BYTES);

const toRingKey = (name: string, key: KeySpec): RingKey => {
  const digits = key.digest.slice(DIGEST_PREFIX.length);
  return {
    digest: Buffer.from(digits, 'hex'),
    identity: {
      organisation: key.organisation,
      key: name,
      fingerprint: digits.slice(0, FINGERPRINT_DIGITS),
    },
    active: key.state === 'active',
  };
};

/**
 * The declared keys of one configuration. A secret is looked up by the first bytes of its SHA-256
 * digest; the complete digest is then compared in constant time. Only digests are stored, never
 * secrets.
 */
export class KeyRing {
  readonly #buckets = new Map<number, RingKey[]>();

  readonly #active = new Map<string, KeyIdentity>();

  constructor(configuration: Configuration) {
    for (const [name, key] of configuration.keys) this.#add(toRingKey(name, key));
  }

  /**
   * Returns the identity for a secret; fails with `key-unknown` if no key matches or it is
   * withdrawn.
   */
  authenticate(secret: string): Result<KeyIdentity, AdmissionError> {
    const digest = computeDigest(secret);
    const matches = (this.#buckets.get(getBucketNumber(digest)) ?? []).filter((key) =>
      timingSafeEqual(key.digest, digest),
    );
    const [first] = matches;
    if (!first || matches.some((key) => !key.active)) return err({ kind: 'key-unknown' });
    return ok(first.identity);
  }

  /**
   * Whether a key that was authenticated earlier is still active, for open streams and queued
   * calls.
   */
  isInForce(identity: KeyIdentity): boolean {
    const current = this.#active.get(identity.key);
    return (
      current?.fingerprint === identity.fingerprint &&
      current.organisation === identity.organisation
    );
  }

  #add(key: RingKey): void {
    const bucket = getBucketNumber(key.digest);
    this.#buckets.set(bucket, [...(this.#buckets.get(bucket) ?? []), key]);
    if (key.active) this.#active.set(key.identity.key, key.identity);
  }
}

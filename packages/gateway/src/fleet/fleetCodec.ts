import type { StoreEntry } from '@limpetnotch/store';
import type { FleetConfiguration } from '../configuration/fleetConfiguration';
import type { FleetTarget } from '../targets/fleetTarget';

/** Decoded entry that an operator wrote to the store. */
export type OperatorEntry =
  | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  /** A storage instance is to be emptied before its removal. */
  | { readonly kind: 'retirement'; readonly instance: string }
  | { readonly kind: 'unreadable'; readonly detail: string }
  | { readonly kind: 'other' };

/** A target's announcement in the store. */
export type TargetEntry =
  | { readonly kind: 'target'; readonly target: FleetTarget }
  | { readonly kind: 'unreadable'; readonly detail: string };

/** A value and the key under which it is written. */
export interface KeyedValue {
  readonly key: string;
  readonly value: string;
}

/** Translates between store entries and the types of the gateway. */
export interface FleetCodec {
  /** Key prefix of the entries of operators. */
  readonly operatorPrefix: string;
  /** Key prefix of the announcements of targets. */
  readonly targetPrefix: string;
  decodeOperatorEntry(entry: StoreEntry): OperatorEntry;
  decodeTarget(entry: StoreEntry): TargetEntry;
  targetIdOf(key: string): string;
  /** Returns the availability zone that an operator evacuates by a key; undefined for other keys. */
  decodeEvacuatedZone(key: string): string | undefined;
  /** Encodes the report that a storage instance is empty. */
  encodeRetired(instance: string): KeyedValue;
}

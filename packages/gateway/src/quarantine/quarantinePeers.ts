import type { QuarantineEntry } from '@limpetnotch/scheduling';

/** The other instances, as far as the quarantine is concerned. */
export interface QuarantinePeers {
  /**
   * Tells each entry to the few instances that count its crashes together; resolves to the digests
   * that at least one of them took.
   */
  tellKeepers(entries: readonly QuarantineEntry[]): Promise<ReadonlySet<string>>;
  /** Tells the entries to all instances. */
  tellAll(entries: readonly QuarantineEntry[]): Promise<void>;
}

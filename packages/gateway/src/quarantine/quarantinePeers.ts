import type { QuarantineEntry } from '@limpetnotch/scheduling';

/** Notifies the other instances of quarantine entries. */
export interface QuarantinePeers {
  /**
   * Sends each entry to the few instances that count its crashes; resolves to the digests that at
   * least one of them accepted.
   */
  notifyCountingInstances(entries: readonly QuarantineEntry[]): Promise<ReadonlySet<string>>;
  /** Sends the entries to all instances. */
  notifyAll(entries: readonly QuarantineEntry[]): Promise<void>;
}

import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { computeMajority } from './chooseWitnesses';
import type { DeferredLog } from './deferredLog';
import { decodeLog } from './deferredLog';
import type { Member } from './member';
import type { PeerChannel, TakeoverNotice, TakeoverReply } from './peerChannel';
import type { PartitionSettings } from './partitionSettings';
import { withPeerDeadline } from './util/withPeerDeadline';

const RETRY_MILLISECONDS = 100;

/** Options of {@link settleTakeover}. */
export interface TakeoverOptions {
  readonly notice: TakeoverNotice;
  /** Witnesses of the previous epoch, from its head. */
  readonly witnesses: readonly Member[];
  /** Last serving epoch; only its records are collected. */
  readonly servedEpoch: number;
  /** Number of committed records of the journal. */
  readonly recordCount: number;
  readonly peers: PeerChannel;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  /** Handles the notice without a peer call if this instance is itself a witness. */
  handleTakeoverLocally(notice: TakeoverNotice): TakeoverReply;
  /** Whether a member's process has certainly ended. */
  hasEnded(member: Member): boolean;
}

/** Result for one witness: it accepted the takeover, or its records and promises are lost. */
type WitnessResult =
  { readonly kind: 'noted'; readonly log: DeferredLog } | { readonly kind: 'lost' };

const readReply = (witness: Member, texts: readonly string[]): WitnessResult => {
  const log = decodeLog(texts);
  // Another incarnation replied, so the one that confirmed the previous owner has ended.
  if (log?.position.witness !== witness.incarnation) return { kind: 'lost' };
  return { kind: 'noted', log };
};

const announceOnce = async (
  { notice, peers, settings, handleTakeoverLocally }: TakeoverOptions,
  witness: Member,
): Promise<TakeoverReply | undefined> => {
  if (witness.incarnation === notice.owner.incarnation) return handleTakeoverLocally(notice);
  const call = peers.announceTakeover(witness, notice);
  const reply = await withPeerDeadline(call, settings.peerDeadlineMilliseconds);
  return reply.unwrapOr(undefined);
};

const announceUntilSettled = async (
  options: TakeoverOptions,
  witness: Member,
): Promise<WitnessResult> => {
  const { settings, signal } = options;
  const startedAt = performance.now();
  while (!signal.aborted) {
    const reply = await announceOnce(options, witness);
    if (reply?.kind === 'noted') return readReply(witness, reply.deferredRecords);
    const waitedMilliseconds = performance.now() - startedAt;
    // A promise that a witness gave before it ended holds for one lease time at most.
    const hasPromiseExpired = waitedMilliseconds > settings.leaseMilliseconds;
    const isOutageLimitExceeded =
      waitedMilliseconds > settings.outageLimitMilliseconds + settings.leaseMilliseconds;
    if (!reply && hasPromiseExpired && (options.hasEnded(witness) || isOutageLimitExceeded)) {
      return { kind: 'lost' };
    }
    const waitMilliseconds = reply?.kind === 'held' ? reply.forMilliseconds : RETRY_MILLISECONDS;
    await delay(waitMilliseconds, signal);
  }
  return { kind: 'lost' };
};

const findNewestLog = (logs: readonly DeferredLog[]): DeferredLog | undefined =>
  [...logs].sort((first, second) => second.position.request - first.position.request)[0];

/** Selects the records that the last owner deferred and that are not committed. */
const selectMissingTexts = (
  options: TakeoverOptions,
  results: readonly WitnessResult[],
): readonly string[] => {
  const { servedEpoch, recordCount, metrics } = options;
  const logs = results.flatMap((result) => (result.kind === 'noted' ? [result.log] : []));
  const log = findNewestLog(logs.filter(({ position }) => position.epoch === servedEpoch));
  if (!log) return [];
  if (log.position.first > recordCount) {
    throw new Error(`record ${recordCount} is neither in the store nor at a witness`);
  }
  const texts = log.texts.slice(recordCount - log.position.first);
  metrics.increment('partition.gathered-records', texts.length);
  return texts;
};

/**
 * Announces the new owner to the witnesses of the previous epoch, and resolves to the records that
 * they stored for the previous owner. It completes when a majority has accepted the takeover, so
 * that the previous owner cannot obtain another majority, or when every witness has either accepted
 * it or is lost.
 */
export const settleTakeover = async (options: TakeoverOptions): Promise<readonly string[]> => {
  const { witnesses, signal } = options;
  const results: WitnessResult[] = [];
  const settled = new AbortController();
  const finish = (): void => settled.abort();
  signal.addEventListener('abort', finish, { once: true });
  const isSettled = (): boolean =>
    results.filter(({ kind }) => kind === 'noted').length >= computeMajority(witnesses);
  const announcements = witnesses.map(async (witness) => {
    const result = await announceUntilSettled({ ...options, signal: settled.signal }, witness);
    if (settled.signal.aborted) return;
    results.push(result);
    if (isSettled()) finish();
  });
  await Promise.all(announcements);
  signal.removeEventListener('abort', finish);
  return selectMissingTexts(options, results);
};

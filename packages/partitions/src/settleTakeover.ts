import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { majorityOf } from './chooseWitnesses';
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
  /** Epoch that served last: only its records count. */
  readonly servedEpoch: number;
  /** Number of records in the journal. */
  readonly recordCount: number;
  readonly peers: PeerChannel;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  /** Answers in place of this instance itself, where it is a witness. */
  noteLocally(notice: TakeoverNotice): TakeoverReply;
  /** Whether a member's process has certainly ended. */
  isGone(member: Member): boolean;
}

/** What is known of one witness: it noted the takeover, or what it knew is lost. */
type WitnessNote =
  { readonly kind: 'noted'; readonly log: DeferredLog } | { readonly kind: 'lost' };

const readReply = (witness: Member, texts: readonly string[]): WitnessNote => {
  const log = decodeLog(texts);
  // Another incarnation answered: the one that confirmed the old owner has ended.
  if (log?.position.witness !== witness.incarnation) return { kind: 'lost' };
  return { kind: 'noted', log };
};

const askOnce = async (
  { notice, peers, settings, noteLocally }: TakeoverOptions,
  witness: Member,
): Promise<TakeoverReply | undefined> => {
  if (witness.incarnation === notice.owner.incarnation) return noteLocally(notice);
  const call = peers.announceTakeover(witness, notice);
  const reply = await withPeerDeadline(call, settings.peerDeadlineMilliseconds);
  return reply.unwrapOr(undefined);
};

const announce = async (options: TakeoverOptions, witness: Member): Promise<WitnessNote> => {
  const { settings, signal } = options;
  const startedAt = performance.now();
  while (!signal.aborted) {
    const reply = await askOnce(options, witness);
    if (reply?.kind === 'noted') return readReply(witness, reply.deferredRecords);
    const waited = performance.now() - startedAt;
    // What a witness promised before it ended holds for a lease time at the most.
    const isPromiseOver = waited > settings.leaseMilliseconds;
    const isOutageOver = waited > settings.outageLimitMilliseconds + settings.leaseMilliseconds;
    if (!reply && isPromiseOver && (options.isGone(witness) || isOutageOver)) {
      return { kind: 'lost' };
    }
    const wait = reply?.kind === 'held' ? reply.forMilliseconds : RETRY_MILLISECONDS;
    await delay(wait, signal);
  }
  return { kind: 'lost' };
};

const newestLog = (logs: readonly DeferredLog[]): DeferredLog | undefined =>
  [...logs].sort((first, second) => second.position.request - first.position.request)[0];

/** Picks the records that the last owner deferred and the store does not have. */
const missingTexts = (
  options: TakeoverOptions,
  notes: readonly WitnessNote[],
): readonly string[] => {
  const { servedEpoch, recordCount, metrics } = options;
  const logs = notes.flatMap((note) => (note.kind === 'noted' ? [note.log] : []));
  const log = newestLog(logs.filter(({ position }) => position.epoch === servedEpoch));
  if (!log) return [];
  if (log.position.first > recordCount) {
    throw new Error(`record ${recordCount} is neither in the store nor at a witness`);
  }
  const texts = log.texts.slice(recordCount - log.position.first);
  metrics.increment('partition.gathered-records', texts.length);
  return texts;
};

/**
 * Tells the witnesses of the previous epoch of the new owner, and resolves to the records that
 * they kept for the old one. It ends when a majority took note, so that the old owner can get no
 * further majority; or when no other witness is left that could.
 */
export const settleTakeover = async (options: TakeoverOptions): Promise<readonly string[]> => {
  const { witnesses, signal } = options;
  const notes: WitnessNote[] = [];
  const settled = new AbortController();
  const finish = (): void => settled.abort();
  signal.addEventListener('abort', finish, { once: true });
  const isSettled = (): boolean =>
    notes.filter(({ kind }) => kind === 'noted').length >= majorityOf(witnesses);
  const announced = witnesses.map(async (witness) => {
    const note = await announce({ ...options, signal: settled.signal }, witness);
    if (settled.signal.aborted) return;
    notes.push(note);
    if (isSettled()) finish();
  });
  await Promise.all(announced);
  signal.removeEventListener('abort', finish);
  return missingTexts(options, notes);
};

import type { KeyValueStore, StoreError } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { JournalHead } from './journalHead';
import { createClaimedHead, encodeHead } from './journalHead';
import type { Member } from './member';
import type { HeadError, PartitionHead } from './partitionHead';
import { headKey, parseHead } from './partitionHead';
import { swapHead } from './swapHead';

/** A claim that succeeded. */
export interface Claim {
  readonly head: JournalHead;
  readonly revision: number;
  /** Witnesses chosen for the new epoch; the next head names them. */
  readonly witnesses: readonly Member[];
  /** The head before the claim. */
  readonly previous: PartitionHead | undefined;
}

/** Reason why a partition was not claimed. */
export type ClaimError =
  | { readonly kind: 'owned'; readonly epoch: number; readonly owner: Member }
  /** Another claim came first, or the store did not respond; the claim may be retried. */
  | { readonly kind: 'try-again'; readonly detail: string }
  | HeadError;

/** Options of {@link claimPartition}. */
export interface ClaimRequest {
  readonly store: KeyValueStore;
  readonly partition: number;
  readonly claimer: Member;
  readonly deadlineMilliseconds: number;
  /** Chooses the witnesses of the new epoch. */
  chooseWitnesses(): readonly Member[];
  /** Whether the owner in the head may be replaced. */
  mayReplace(owner: Member): boolean;
  onUnknownOutcome(): void;
}

const toTryAgain = ({ detail }: StoreError): ClaimError => ({ kind: 'try-again', detail });

const readHead = async (
  request: ClaimRequest,
): Promise<Result<{ head: PartitionHead | undefined; revision: number }, ClaimError>> => {
  const { store, partition, deadlineMilliseconds } = request;
  const entry = await boundStoreCall(store.read(headKey(partition)), deadlineMilliseconds);
  if (entry.isErr()) return err(toTryAgain(entry.error));
  if (!entry.value) return ok({ head: undefined, revision: 0 });
  const { revision } = entry.value;
  return parseHead(entry.value.value).map((head) => ({ head, revision }));
};

/** Claims a partition by a compare-and-swap that raises the epoch. */
export const claimPartition = async (request: ClaimRequest): Promise<Result<Claim, ClaimError>> => {
  const { store, partition, claimer, deadlineMilliseconds } = request;
  const current = await readHead(request);
  if (current.isErr()) return err(current.error);
  const { head: previous, revision: expectedRevision } = current.value;
  if (previous && !previous.handedOver && !request.mayReplace(previous.owner)) {
    return err({ kind: 'owned', epoch: previous.epoch, owner: previous.owner });
  }
  const witnesses = request.chooseWitnesses();
  const head = createClaimedHead(previous, claimer, witnesses);
  const outcome = await swapHead({
    store,
    partition,
    expectedRevision,
    head: encodeHead(head),
    deadlineMilliseconds,
    onUnknownOutcome: () => request.onUnknownOutcome(),
  });
  switch (outcome.kind) {
    case 'committed':
      return ok({ head, revision: outcome.revision, witnesses, previous });
    case 'conflict':
      return err({ kind: 'try-again', detail: `epoch ${outcome.epoch} was claimed first` });
    case 'unreadable':
      return err(outcome.error);
    case 'failed':
    case 'unknown':
      // If the claim takes effect later, this instance owns an epoch that it does not serve; its
      // next claim raises the epoch again.
      return err(toTryAgain(outcome.error));
    // no default
  }
};

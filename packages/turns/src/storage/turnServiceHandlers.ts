import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type {
  ListTurnsRequest,
  ListTurnsResponseSchema,
  ReadChainRequest,
  ReadTurnsRequest,
  StoreTurnsRequest,
  Turn,
  TurnService,
} from '@limpetnotch/peer-protocol';
import { StoreTurnsResponse_Result as StoreResult } from '@limpetnotch/peer-protocol';
import type { TurnLog, TurnLogError } from '@limpetnotch/turn-log';
import { BATCH_BYTES } from './batchBytes';
import { EXPIRY_MARGIN_MILLISECONDS } from './expiryMargin';

/** Keys in one page; a page has at most about 100 KB. */
const PAGE_KEYS = 500;

/** Longest name of an organisation, turn or program. */
const MAXIMUM_NAME_LENGTH = 1_024;

/** Longest time for which a turn is accepted, so that no time stamp keeps a segment forever. */
const MAXIMUM_LIFETIME_MILLISECONDS = 24 * 60 * 60 * 1_000;

/** Parts of {@link TurnServiceHandlers}. */
export interface TurnServiceParts {
  readonly log: TurnLog;
  readonly incarnation: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether turns may be stored: this instance is a member and is not leaving. */
  readonly acceptsTurns: () => boolean;
  readonly isWhole: () => boolean;
  /** Called when a turn was stored whose parent is not here. */
  readonly onMissingParent: () => void;
}

const isValidTurn = ({
  organisation,
  id,
  parentId,
  program,
  expiresAtMilliseconds,
}: Turn): boolean =>
  organisation !== '' &&
  id !== '' &&
  [organisation, id, parentId, program].every(({ length }) => length <= MAXIMUM_NAME_LENGTH) &&
  expiresAtMilliseconds >= 0 &&
  expiresAtMilliseconds <= Date.now() + MAXIMUM_LIFETIME_MILLISECONDS;

const toResult = ({ kind }: TurnLogError): StoreResult => {
  switch (kind) {
    case 'disk-full':
      return StoreResult.DISK_FULL;
    case 'disk-failed':
    case 'damaged':
    case 'closed':
      return StoreResult.DISK_FAILED;
  }
};

/** Handles the calls to the service of turns. */
export class TurnServiceHandlers {
  readonly #parts: TurnServiceParts;

  #writes = 0;

  constructor(parts: TurnServiceParts) {
    this.#parts = parts;
  }

  /** Number of calls that are storing turns. */
  get writes(): number {
    return this.#writes;
  }

  /** Handlers by method. */
  get implementation(): ServiceImpl<typeof TurnService> {
    return {
      storeTurns: (request) => this.#storeTurns(request),
      readChain: (request) => this.#readChain(request),
      listTurns: (request) => this.#listTurns(request),
      readTurns: (request) => this.#readTurns(request),
    };
  }

  async #storeTurns({ turns }: StoreTurnsRequest): Promise<{ results: StoreResult[] }> {
    const { acceptsTurns, metrics } = this.#parts;
    if (!turns.every(isValidTurn)) {
      throw new ConnectError('a turn is malformed', Code.InvalidArgument);
    }
    if (!acceptsTurns()) {
      throw new ConnectError('this instance accepts no turns', Code.FailedPrecondition);
    }
    this.#writes += 1;
    try {
      const results = await Promise.all(turns.map((turn) => this.#store(turn)));
      results.forEach((result) =>
        metrics.increment('storage.turns-stored', 1, { result: StoreResult[result] }),
      );
      return { results };
    } finally {
      this.#writes -= 1;
    }
  }

  async #store(turn: Turn): Promise<StoreResult> {
    const { log, onMissingParent } = this.#parts;
    const stored = await log.append(turn);
    if (stored.isErr()) return toResult(stored.error);
    if (turn.parentId !== '' && !log.has(turn.organisation, turn.parentId)) onMissingParent();
    return StoreResult.STORED;
  }

  async #readChain({ organisation, id }: ReadChainRequest) {
    const { log, incarnation, isWhole, metrics } = this.#parts;
    const turns: Turn[] = [];
    const visited = new Set<string>();
    let bytes = 0;
    for (let current = id; current !== '' && !visited.has(current);) {
      visited.add(current);
      bytes += log.getRecordBytes(organisation, current);
      if (turns.length > 0 && bytes > BATCH_BYTES) break;
      const read = await log.read(organisation, current);
      if (read.isErr() || !read.value) break;
      turns.push(read.value);
      current = read.value.parentId;
    }
    metrics.increment('storage.chains-read', 1, { outcome: turns.length > 0 ? 'found' : 'absent' });
    // Asked after the reads, as these may find damage.
    return { turns, isWhole: isWhole(), incarnation };
  }

  async #listTurns({
    cursor,
  }: ListTurnsRequest): Promise<MessageInitShape<typeof ListTurnsResponseSchema>> {
    const { log, incarnation } = this.#parts;
    // Positions of another process mean nothing here, so the list starts again.
    const prefix = `${incarnation}:`;
    const ordinal = cursor.startsWith(prefix) ? Number(cursor.slice(prefix.length)) : 0;
    const keys: { organisation: string; id: string; program: string }[] = [];
    const after = Number.isFinite(ordinal) ? ordinal : 0;
    for (const turn of log.listAfter(after, Date.now() - EXPIRY_MARGIN_MILLISECONDS)) {
      keys.push({ organisation: turn.organisation, id: turn.id, program: turn.program });
      if (keys.length === PAGE_KEYS) return { keys, nextCursor: `${prefix}${turn.ordinal}` };
    }
    return { keys, nextCursor: '' };
  }

  async #readTurns({ keys }: ReadTurnsRequest): Promise<{ turns: Turn[] }> {
    const { log } = this.#parts;
    const turns: Turn[] = [];
    let bytes = 0;
    for (const { organisation, id } of keys) {
      bytes += log.getRecordBytes(organisation, id);
      if (turns.length > 0 && bytes > BATCH_BYTES) break;
      const read = await log.read(organisation, id);
      if (read.isOk() && read.value) turns.push(read.value);
    }
    return { turns };
  }
}

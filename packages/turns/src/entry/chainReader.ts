import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ReadChainResponse, Turn } from '@limpetnotch/peer-protocol';
import type { AbsenceAnswer } from '../decisions/judgeAbsence';
import { judgeAbsence } from '../decisions/judgeAbsence';
import { rankHolders } from '../decisions/rankHolders';
import type { StorageInstance } from '../decisions/storageInstance';
import type { ToleratedLosses } from '../decisions/toleratedLosses';
import type { TurnClients } from '../storage/turnClients';
import type { ChainCache } from './chainCache';
import type { StorageDirectory } from './storageDirectory';

/** Time after which the next instance is asked as well. */
const READ_MILLISECONDS = 150;

/** Deadline of a call to all remaining instances. */
const LAST_READ_MILLISECONDS = 400;

/** Bound on the length of a chain, against a cycle in damaged data. */
const MAXIMUM_TURNS = 1_000;

/** A turn and the program by which its copies are placed. */
export interface TurnReference {
  readonly organisation: string;
  readonly id: string;
  /** Empty if the request belongs to no program. */
  readonly program: string;
}

/** What is known of a chain of turns. */
export type ChainReading =
  /** All turns of the chain, oldest first. */
  | { readonly kind: 'found'; readonly turns: readonly Turn[] }
  /** No such turn exists. */
  | { readonly kind: 'absent' }
  /** Instances that may hold the turn did not respond, or are not whole. */
  | { readonly kind: 'unsure'; readonly missing: string };

/** Parts of a {@link ChainReader}. */
export interface ChainReaderParts {
  readonly directory: StorageDirectory;
  readonly clients: TurnClients;
  readonly cache: ChainCache;
  readonly toleratedLosses: ToleratedLosses;
  /**
   * Whether the store has responded recently. A new storage instance stores turns 5 s after it joined,
   * so an older list may lack an instance that holds the turn.
   */
  readonly isListCurrent: () => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** An instance's response to a read; undefined if it did not respond. */
interface Reply {
  readonly instance: StorageInstance;
  readonly response: ReadChainResponse | undefined;
}

const hasTurns = ({ response }: Reply): boolean => (response?.turns.length ?? 0) > 0;

/** Reads chains of turns from the cache and from storage instances. */
export class ChainReader {
  readonly #parts: ChainReaderParts;

  constructor(parts: ChainReaderParts) {
    this.#parts = parts;
  }

  /** Reads a turn and all turns before it. */
  async read(reference: TurnReference): Promise<ChainReading> {
    const { logger, metrics } = this.#parts;
    const startedAt = performance.now();
    const sources = new Set<string>();
    const newestFirst: Turn[] = [];
    let nextId = reference.id;
    while (nextId !== '' && newestFirst.length < MAXIMUM_TURNS) {
      const part = await this.#readPart({ ...reference, id: nextId }, sources);
      if (part.kind !== 'found') {
        // The newest turn exists, so the missing one does too: a turn outlives those after it.
        const reading: ChainReading =
          newestFirst.length > 0 ? { kind: 'unsure', missing: nextId } : part;
        metrics.increment(`turn.${reading.kind}`);
        logger.info(`turn.${reading.kind}`, { ...reference, missing: nextId });
        return reading;
      }
      newestFirst.push(...part.turns);
      nextId = part.turns.at(-1)?.parentId ?? '';
    }
    metrics.increment('turn.read', 1, { source: sources.size === 0 ? 'cache' : 'storage' });
    logger.info('turn.read', {
      ...reference,
      turns: newestFirst.length,
      sources: [...sources].join(' '),
      milliseconds: Math.round(performance.now() - startedAt),
    });
    return { kind: 'found', turns: newestFirst.reverse() };
  }

  /** Reads a turn, and as many of those before it as its source holds, newest first. */
  async #readPart(reference: TurnReference, sources: Set<string>): Promise<ChainReading> {
    const cached = this.#parts.cache.get(reference.organisation, reference.id);
    if (cached) return { kind: 'found', turns: [cached] };
    const { directory, cache, toleratedLosses } = this.#parts;
    if (!directory.isListed) return { kind: 'unsure', missing: reference.id };
    const replies: Reply[] = [];
    const ranking = this.#rank(reference);
    for (const instances of [ranking.slice(0, 1), ranking.slice(1, 2), ranking.slice(2)]) {
      const isLast = replies.length + instances.length === ranking.length;
      const received = await this.#ask(
        instances,
        reference,
        isLast ? LAST_READ_MILLISECONDS : READ_MILLISECONDS,
      );
      replies.push(...received);
      const found = received.find(hasTurns);
      if (found?.response) {
        sources.add(found.instance.name);
        found.response.turns.forEach((turn) => cache.add(turn));
        return { kind: 'found', turns: found.response.turns };
      }
    }
    const answers = replies.flatMap(({ instance, response }): AbsenceAnswer[] =>
      response ? [{ instance: instance.name, isWhole: response.isWhole }] : [],
    );
    const verdict = judgeAbsence({ known: directory.possibleHolders, answers, toleratedLosses });
    return verdict === 'absent' && this.#parts.isListCurrent()
      ? { kind: 'absent' }
      : { kind: 'unsure', missing: reference.id };
  }

  /** Ranks the instances for a read: those that probably hold the turn first, doubtful ones last. */
  #rank({ organisation, program, id }: TurnReference): readonly StorageInstance[] {
    const { directory } = this.#parts;
    const { known } = directory;
    const holders = rankHolders({ organisation, program: program || id }, known);
    const leaving = known.filter(({ name }) => holders.every((holder) => holder.name !== name));
    const ranking = [...holders, ...leaving];
    return [
      ...ranking.filter(({ name }) => !directory.isDoubtful(name)),
      ...ranking.filter(({ name }) => directory.isDoubtful(name)),
    ];
  }

  /** Asks instances in parallel; resolves early as soon as one of them has the turn. */
  async #ask(
    instances: readonly StorageInstance[],
    reference: TurnReference,
    timeoutMs: number,
  ): Promise<readonly Reply[]> {
    const replies: Reply[] = [];
    const asked = instances.map(async (instance) => {
      replies.push({ instance, response: await this.#readFrom(instance, reference, timeoutMs) });
    });
    const found = asked.map(async (reply, index) => {
      await reply;
      const name = instances[index]?.name;
      if (!replies.some((received) => received.instance.name === name && hasTurns(received))) {
        throw new Error('not found');
      }
    });
    await Promise.any([Promise.all(asked), ...found]);
    return replies;
  }

  async #readFrom(
    instance: StorageInstance,
    { organisation, id }: TurnReference,
    timeoutMs: number,
  ): Promise<ReadChainResponse | undefined> {
    const { clients, directory, logger } = this.#parts;
    try {
      const response = await clients
        .to(instance.address)
        .readChain({ organisation, id }, { timeoutMs });
      directory.recordSuccess(instance.name);
      return response;
    } catch (error) {
      directory.recordFailure(instance.name);
      const detail = error instanceof Error ? error.message : String(error);
      logger.warn('turn.read-failed', { request: id, instance: instance.name, detail });
      return undefined;
    }
  }
}

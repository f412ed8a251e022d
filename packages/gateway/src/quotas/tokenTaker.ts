import type { Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { LONGEST_TOKEN_WAIT_MILLISECONDS } from './longestTokenWait';
import type { OrganisationRate } from './organisationRate';
import type { QuotaPeers, TokensGiven, TokensWanted } from './quotaPeers';

/** Delay before peers are queried again after a round that brought no tokens. */
const EMPTY_ROUND_PAUSE_MILLISECONDS = 75;

/**
 * Maximum rounds of peer queries per request; other requests may take the tokens of earlier rounds.
 */
const MAXIMUM_PEER_ROUNDS = 4;

/** Minimum wait for a token, as several requests may wait for the same one. */
const SHORTEST_WAIT_MILLISECONDS = 10;

/** Time for whose demand tokens are requested ahead. */
const AHEAD_SECONDS = 1;

/** Maximum number of tokens requested ahead. */
const MAXIMUM_AHEAD_TOKENS = 8;

const MILLISECONDS_PER_SECOND = 1_000;

/** Parts of a {@link TokenTaker}. */
export interface TokenTakerParts {
  readonly peers: QuotaPeers;
  readonly metrics: Metrics;
}

/** Takes tokens of organisations' rates, held here or by other instances. */
export class TokenTaker {
  readonly #parts: TokenTakerParts;

  constructor(parts: TokenTakerParts) {
    this.#parts = parts;
  }

  /** Takes a token held here or one of a peer, or waits a short time for the next one. */
  async take(entry: OrganisationRate): Promise<boolean> {
    if (entry.queuedRequests === 0 && entry.rate.tryAcquire()) return true;
    const mutableEntry = entry;
    mutableEntry.requestsWithoutToken += 1;
    const isObtained = await this.#requestToken(entry);
    mutableEntry.requestsWithoutToken -= 1;
    return isObtained || this.#waitForToken(entry);
  }

  /** Returns the tokens to ask for: those that requests wait for, and those expected to be needed. */
  computeWanted(entry: OrganisationRate): TokensWanted {
    const ahead = Math.ceil(entry.rate.demandPerSecond * AHEAD_SECONDS);
    return {
      wanted: Math.max(1, entry.requestsWithoutToken),
      ahead: entry.chosenHolders ? Math.min(MAXIMUM_AHEAD_TOKENS, ahead) : 0,
    };
  }

  /** Adds tokens that a peer has just given up. */
  receive(entry: OrganisationRate, { given, ahead }: TokensGiven): void {
    entry.rate.receive(given);
    entry.rate.receiveAhead(ahead);
    this.#parts.metrics.increment('quota.tokens-received', given + ahead);
  }

  /** Queries peers until this request gets a token or a round brings none. */
  async #requestToken(entry: OrganisationRate): Promise<boolean> {
    for (let round = 0; round < MAXIMUM_PEER_ROUNDS; round += 1) {
      if (performance.now() < entry.nextPeerRequestAtMilliseconds) return false;
      if (entry.chosenHolders && entry.dueHolders.length === 0) return false;
      await this.#sharePeerRequest(entry);
      if (entry.rate.tryAcquire()) return true;
    }
    return false;
  }

  /** Waits for a token of the own part or, without one, of a holder. */
  #waitForToken(entry: OrganisationRate): Promise<boolean> {
    return entry.chosenHolders && entry.holders === 0
      ? this.#waitForHolder(entry)
      : this.#waitInQueue(entry);
  }

  /** Asks holders at the times at which they expect tokens; returns false if that is too late. */
  async #waitForHolder(entry: OrganisationRate): Promise<boolean> {
    const until = performance.now() + LONGEST_TOKEN_WAIT_MILLISECONDS;
    while (performance.now() + entry.millisecondsToHolderToken <= until) {
      await delay(Math.max(SHORTEST_WAIT_MILLISECONDS, entry.millisecondsToHolderToken));
      if (entry.rate.tryAcquire() || (await this.#requestToken(entry))) return true;
    }
    return false;
  }

  /** Waits in the queue for a token; returns false immediately if the queue is too long. */
  async #waitInQueue(entry: OrganisationRate): Promise<boolean> {
    const { rate } = entry;
    const expectedMilliseconds =
      rate.secondsToTokens(entry.queuedRequests + 1) * MILLISECONDS_PER_SECOND;
    if (expectedMilliseconds > LONGEST_TOKEN_WAIT_MILLISECONDS) return false;
    const mutableEntry = entry;
    mutableEntry.queuedRequests += 1;
    const wait = entry.queueTail.then(() =>
      delay(rate.secondsToNextToken * MILLISECONDS_PER_SECOND),
    );
    mutableEntry.queueTail = wait;
    await wait;
    mutableEntry.queuedRequests -= 1;
    return rate.tryAcquire();
  }

  #sharePeerRequest(entry: OrganisationRate): Promise<void> {
    if (entry.peerRequest) return entry.peerRequest;
    // The entry is shared by all requests of the organisation that wait for the same response.
    const mutableEntry = entry;
    mutableEntry.peerRequest = this.#requestFromPeers(entry).finally(() => {
      mutableEntry.peerRequest = undefined;
    });
    return mutableEntry.peerRequest;
  }

  async #requestFromPeers(entry: OrganisationRate): Promise<void> {
    const wanted = this.computeWanted(entry);
    if (entry.chosenHolders) {
      await this.#requestFromHolders(entry, wanted);
      return;
    }
    const received = await this.#parts.peers.takeTokens(entry.organisation.name, wanted);
    this.receive(entry, received);
    const mutableEntry = entry;
    if (received.given === 0) {
      mutableEntry.nextPeerRequestAtMilliseconds =
        performance.now() + EMPTY_ROUND_PAUSE_MILLISECONDS;
    }
  }

  /** Asks one holder after another until one gives tokens. */
  async #requestFromHolders(entry: OrganisationRate, wanted: TokensWanted): Promise<void> {
    for (const name of entry.dueHolders) {
      const reply = await this.#parts.peers.takeTokens(entry.organisation.name, wanted, [name]);
      this.receive(entry, reply);
      entry.recordHolderAnswer(name, reply);
      if (reply.given > 0) return;
    }
  }
}

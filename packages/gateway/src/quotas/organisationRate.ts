import { AdmittedPrograms, SharedRate } from '@limpetnotch/admission';
import type { FleetOrganisation } from '../configuration/fleetConfiguration';
import { chooseRateHolders } from './chooseRateHolders';
import { decideRateShare } from './decideRateShare';
import type { TokensGiven } from './quotaPeers';
import type { RateLayout } from './rateLayout';

const MILLISECONDS_PER_SECOND = 1_000;

/** Time until a holder that doesn't tell its next token, or doesn't respond, is asked again. */
const UNKNOWN_NEXT_MILLISECONDS = 75;

/** What this instance knows of an organisation's rate. */
export class OrganisationRate {
  readonly rate: SharedRate;

  readonly programs = new AdmittedPrograms();

  organisation: FleetOrganisation;

  /** Number of requests that found no token here. */
  requestsWithoutToken = 0;

  /** Number of requests that wait in the queue for a token. */
  queuedRequests = 0;

  queueTail: Promise<void> = Promise.resolve();

  /** Request to peers on which all requests without a token wait. */
  peerRequest: Promise<void> | undefined;

  nextPeerRequestAtMilliseconds = 0;

  /** Number of equal holders that the part of this instance is based on; 0 without a part. */
  holders = 0;

  /** Members that hold the rate; undefined if all do. */
  #chosenHolders: readonly string[] | undefined;

  /** Chosen holders other than this instance, the last one that gave tokens first. */
  #askedHolders: readonly string[] = [];

  /** When a holder that had no token expects the next one, by its name. */
  readonly #nextTokenAt = new Map<string, number>();

  /** When the last token is expected that a waiting instance was told of. */
  #promisedAtMilliseconds = -Infinity;

  #hasSettled = false;

  constructor(organisation: FleetOrganisation) {
    this.organisation = organisation;
    this.rate = new SharedRate(this.#toPart(0, 0, 1));
  }

  /** Members that hold the rate, the one that decides on programs first; undefined if all do. */
  get chosenHolders(): readonly string[] | undefined {
    return this.#chosenHolders;
  }

  /** Applies the configuration and the layout in force. */
  apply(organisation: FleetOrganisation, layout: RateLayout, windowSeconds: number): void {
    this.organisation = organisation;
    const { rank, holders, chosenHolders } = decideRateShare(layout, organisation.name);
    this.holders = holders;
    const part = this.#toPart(rank, holders, windowSeconds);
    const hasSettled = layout.kind === 'holders' && layout.stage === 'settled';
    // Other members may have spent the equal parts of which this part is made.
    if (hasSettled && !this.#hasSettled) this.rate.restart(part);
    else this.rate.setPart(part);
    this.#hasSettled = hasSettled;
    this.#chosenHolders = chosenHolders;
    if (layout.kind === 'holders' && chosenHolders) {
      this.#orderHolders(layout.instance, chosenHolders);
    }
  }

  /**
   * Returns the time until the next token that no waiting instance was told of, in milliseconds;
   * instances wait for it if that is short enough, and are told different times.
   */
  promiseToken(longestMilliseconds: number): number {
    const now = performance.now();
    const readyAt = now + this.rate.secondsToNextToken * MILLISECONDS_PER_SECOND;
    const interval = this.rate.secondsPerToken * MILLISECONDS_PER_SECOND;
    const at = Math.max(readyAt, this.#promisedAtMilliseconds + interval);
    if (at - now <= longestMilliseconds) this.#promisedAtMilliseconds = at;
    return at - now;
  }

  /** Other holders that may have a token now, in the order in which to ask them. */
  get dueHolders(): readonly string[] {
    const now = performance.now();
    return this.#askedHolders.filter((name) => (this.#nextTokenAt.get(name) ?? 0) <= now);
  }

  /** Time until another holder may have a token, in milliseconds; infinite if there is none. */
  get millisecondsToHolderToken(): number {
    const times = this.#askedHolders.map((name) => this.#nextTokenAt.get(name) ?? 0);
    return Math.max(0, Math.min(Infinity, ...times) - performance.now());
  }

  /** Records what a holder gave; one with tokens is asked first from now on. */
  recordHolderAnswer(name: string, { given, nextMilliseconds }: TokensGiven): void {
    if (given === 0) {
      const milliseconds = nextMilliseconds ?? UNKNOWN_NEXT_MILLISECONDS;
      this.#nextTokenAt.set(name, performance.now() + milliseconds);
      return;
    }
    this.#nextTokenAt.delete(name);
    this.#askedHolders = [name, ...this.#askedHolders.filter((other) => other !== name)];
  }

  /** Orders the holders to ask; instances begin with different ones, so that requests are spread. */
  #orderHolders(instance: string, chosenHolders: readonly string[]): void {
    const ordered = chooseRateHolders(instance, chosenHolders);
    this.#askedHolders = ordered.filter((name) => name !== instance);
  }

  #toPart(rank: number, holders: number, windowSeconds: number) {
    const { rate } = this.organisation;
    const { perSecond = 0, burst = 0 } = rate ?? {};
    return { perSecond, burst, windowSeconds, holders, rank };
  }
}

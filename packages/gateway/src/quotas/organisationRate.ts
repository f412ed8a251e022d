import { AdmittedPrograms, SharedRate } from '@limpetnotch/admission';
import type { FleetOrganisation } from '../configuration/fleetConfiguration';
import { chooseRateHolders } from './chooseRateHolders';
import { decideRateShare } from './decideRateShare';
import type { TokensGiven } from './quotaPeers';
import type { RateLayout } from './rateLayout';

const MILLISECONDS_PER_SECOND = 1_000;

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

  /** When a chosen holder that had no token expects the next one. */
  #peerTokenAtMilliseconds = Infinity;

  /** Number of equal holders that the part of this instance is based on; 0 without a part. */
  holders = 0;

  /** Members that hold the rate; undefined if all do. */
  #chosenHolders: readonly string[] | undefined;

  /** Other holders, the last one that gave tokens first. */
  #askedHolders: readonly string[] = [];

  #hasSettled = false;

  constructor(organisation: FleetOrganisation) {
    this.organisation = organisation;
    this.rate = new SharedRate(this.#toPart(0, 0, 1));
  }

  /** Members that hold the rate, the one that decides on programs first; undefined if all do. */
  get chosenHolders(): readonly string[] | undefined {
    return this.#chosenHolders;
  }

  /** Other members to ask for tokens, in order; undefined if all hold some. */
  get askedHolders(): readonly string[] | undefined {
    return this.#chosenHolders && this.#askedHolders;
  }

  /** Applies the configuration and the layout in force. */
  apply(organisation: FleetOrganisation, layout: RateLayout, windowSeconds: number): void {
    this.organisation = organisation;
    const { rank, holders } = decideRateShare(layout, organisation.name);
    this.holders = holders;
    const part = this.#toPart(rank, holders, windowSeconds);
    const hasSettled = layout.kind === 'holders' && layout.stage === 'settled';
    // Other members may have spent the equal parts of which this part is made.
    if (hasSettled && !this.#hasSettled) this.rate.restart(part);
    else this.rate.setPart(part);
    this.#hasSettled = hasSettled;
    this.#chooseHolders(layout);
  }

  /** Time until a chosen holder may have a token, in seconds; infinite if that is unknown. */
  get secondsToPeerToken(): number {
    if (!this.#chosenHolders) return Infinity;
    const milliseconds = this.#peerTokenAtMilliseconds - performance.now();
    return Math.max(0, milliseconds) / MILLISECONDS_PER_SECOND;
  }

  /** Asks a holder first from now on, as it may have more tokens. */
  prefer(name: string): void {
    this.#askedHolders = [name, ...this.#askedHolders.filter((other) => other !== name)];
  }

  /** Records the answer of peers; after one without tokens they aren't queried for a pause. */
  recordPeerAnswer({ given, nextMilliseconds }: TokensGiven, pauseMilliseconds: number): void {
    if (given > 0) return;
    const now = performance.now();
    this.nextPeerRequestAtMilliseconds =
      now + Math.min(pauseMilliseconds, nextMilliseconds ?? Infinity);
    this.#peerTokenAtMilliseconds = now + (nextMilliseconds ?? Infinity);
  }

  #chooseHolders(layout: RateLayout): void {
    if (layout.kind !== 'holders') {
      this.#chosenHolders = undefined;
      return;
    }
    this.#chosenHolders = chooseRateHolders(this.organisation.name, layout.members);
    // Instances begin with different holders, so that their requests are spread.
    const own = chooseRateHolders(layout.instance, this.#chosenHolders);
    this.#askedHolders = own.filter((name) => name !== layout.instance);
  }

  #toPart(rank: number, holders: number, windowSeconds: number) {
    const { rate } = this.organisation;
    const { perSecond = 0, burst = 0 } = rate ?? {};
    return { perSecond, burst, windowSeconds, holders, rank };
  }
}

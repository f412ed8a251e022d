import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { WatchError } from '@limpetnotch/store';
import type { Call } from '../calls/call';
import type { FleetCodec } from '../fleet/fleetCodec';
import { computeResumptionWindow } from './computeResumptionWindow';
import type { ResumptionDecision } from './decideResumption';
import { decideResumption } from './decideResumption';
import type { OriginSharing } from './originSharing';
import type { ServiceVersions } from './serviceVersions';
import type { StreamOrigin } from './streamOrigin';

/** Resumptions within this time share one confirmation by the store. */
const CONFIRMATION_MILLISECONDS = 250;

/** Longest wait for the changes that this instance has not observed yet. */
const CHANGES_MILLISECONDS = 300;

/** Silence on the watch for these changes, which ends it without an error. */
const CHANGES_SILENCE_MILLISECONDS = 700;

/** Dependencies of a {@link ResumptionGate}. */
export interface ResumptionGateParts {
  readonly sharing: OriginSharing;
  readonly versions: ServiceVersions;
  readonly store: Pick<KeyValueStore, 'list' | 'watch'>;
  readonly codec: Pick<FleetCodec, 'targetPrefix' | 'decodeTarget'>;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

type Versions = readonly (string | undefined)[];

/** Versions by service, as the store lists them; undefined if the store does not respond. */
type ListedVersions = ReadonlyMap<string, Versions> | undefined;

/** A known origin, and who knew it. */
interface FoundOrigin {
  readonly origin: StreamOrigin;
  readonly source: 'local' | 'peer' | 'store';
}

/** Decides whether streams that callers resume may go on, and at which version. */
export class ResumptionGate {
  readonly #parts: ResumptionGateParts;

  #listing: Promise<ListedVersions> | undefined;

  #listedAtMilliseconds = -Infinity;

  constructor(parts: ResumptionGateParts) {
    this.#parts = parts;
  }

  /** Decides about a call that resumes a stream. */
  async admit(call: Call): Promise<ResumptionDecision> {
    const { logger, metrics } = this.#parts;
    const beganAtMilliseconds = performance.now();
    const service = call.service.name;
    const shared = await this.#findShared(call);
    const possibleVersions = shared ? undefined : await this.#findPossibleVersions(call);
    const found = shared ?? (await this.#findStored(call, possibleVersions));
    const decision = decideResumption({
      service,
      allowedServices: call.route.destinations.map((destination) => destination.service),
      origin: found?.origin,
      possibleVersions,
    });
    const outcome = decision.kind === 'resumed' ? decision.evidence : decision.reason;
    metrics.increment('call.resumptions', 1, { outcome });
    logger.info('call.resumption', {
      request: call.envelope.id,
      resumes: call.envelope.resumedRequestId,
      lastEvent: call.envelope.lastEventId,
      outcome,
      service: decision.kind === 'resumed' ? decision.origin.service : service,
      version: decision.kind === 'resumed' ? decision.origin.version : undefined,
      source: found?.source,
      waitMilliseconds: Math.round(performance.now() - beganAtMilliseconds),
    });
    return decision;
  }

  /** Returns the origin that this instance or another one knows. */
  async #findShared({ streamKey }: Call): Promise<FoundOrigin | undefined> {
    const { sharing } = this.#parts;
    const local = sharing.findLocal(streamKey);
    if (local) return { origin: local, source: 'local' };
    const atPeer = await sharing.findAtPeers(streamKey);
    return atPeer && { origin: atPeer, source: 'peer' };
  }

  /** Returns the origin that the store has, which is written only while there are several versions. */
  async #findStored(
    { streamKey }: Call,
    possibleVersions: Versions | undefined,
  ): Promise<FoundOrigin | undefined> {
    if (possibleVersions?.length === 1) return undefined;
    const stored = await this.#parts.sharing.findStored(streamKey);
    return stored && { origin: stored, source: 'store' };
  }

  /** Returns the versions that may have begun a stream, confirmed by the store. */
  async #findPossibleVersions({ service, route }: Call): Promise<Versions | undefined> {
    const observed = this.#parts.versions.within(
      service.name,
      computeResumptionWindow(route.timeoutMilliseconds),
    );
    if (observed?.length !== 1) return observed;
    const listed = await this.#list();
    return listed && [...new Set([...observed, ...(listed.get(service.name) ?? [])])];
  }

  #list(): Promise<ListedVersions> {
    const now = performance.now();
    if (!this.#listing || now - this.#listedAtMilliseconds > CONFIRMATION_MILLISECONDS) {
      this.#listedAtMilliseconds = now;
      this.#listing = this.#readVersions();
    }
    return this.#listing;
  }

  /** Reads the versions that are listed now, and those that came and went unobserved. */
  async #readVersions(): Promise<ListedVersions> {
    const { store, codec, versions } = this.#parts;
    const { confirmedRevision } = versions;
    const listing = await store.list(codec.targetPrefix);
    if (listing.isErr()) return undefined;
    const { entries, revision } = listing.value;
    const changes = await this.#readChanges(confirmedRevision, revision);
    if (!changes) return undefined;
    const found = new Map<string, (string | undefined)[]>();
    [...entries, ...changes].forEach((entry) => {
      const decoded = codec.decodeTarget(entry);
      if (decoded.kind !== 'target') return;
      const { service, version } = decoded.target;
      found.set(service, [...(found.get(service) ?? []), version]);
    });
    return found;
  }

  /**
   * Returns the announcements between two revisions. An instance that was cut off or stood still may
   * not have observed a target that joined, began streams and has left since. Returns undefined if
   * the store doesn't report them all in time.
   */
  async #readChanges(
    after: number,
    untilRevision: number,
  ): Promise<readonly StoreEntry[] | undefined> {
    const { store, codec } = this.#parts;
    const end = new AbortController();
    const timer = setTimeout(() => end.abort(), CHANGES_MILLISECONDS);
    const changes: StoreEntry[] = [];
    try {
      const watch = store.watch({
        prefix: codec.targetPrefix,
        fromRevision: after + 1,
        signal: end.signal,
        silenceMilliseconds: CHANGES_SILENCE_MILLISECONDS,
      });
      for await (const event of watch) {
        if (event.kind === 'put') changes.push(event.entry);
        if (event.kind === 'progress' && event.revision >= untilRevision) return changes;
      }
      return undefined;
    } catch (error) {
      if (!(error instanceof WatchError)) throw error;
      this.#parts.logger.info('call.resumption-unconfirmed', { detail: error.message });
      return undefined;
    } finally {
      clearTimeout(timer);
      end.abort();
    }
  }
}

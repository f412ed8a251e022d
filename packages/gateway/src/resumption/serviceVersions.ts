import type { FleetTarget } from '../targets/fleetTarget';

/** Versions that were seen longer ago are forgotten; no stream lasts as long. */
const RETENTION_MILLISECONDS = 600_000;

interface SeenVersion {
  readonly service: string;
  readonly version: string | undefined;
  lastSeenAtMilliseconds: number;
}

/** Software versions that the targets of each service had recently. */
export class ServiceVersions {
  #seen: SeenVersion[] = [];

  /** Versions announced now, which are seen at any time until they no longer are. */
  #announced: ReadonlySet<SeenVersion> = new Set();

  #observedSinceMilliseconds = Infinity;

  #confirmedRevision = 0;

  /** Revision of the store up to which all changes have been observed. */
  get confirmedRevision(): number {
    return this.#confirmedRevision;
  }

  /** Records the revision up to which all changes have been observed. */
  confirm(revision: number): void {
    this.#confirmedRevision = revision;
  }

  /** Records the announced targets after a change. */
  observe(targets: readonly FleetTarget[]): void {
    this.#seeAnnounced();
    this.#announced = new Set(targets.map((target) => this.#see(target)));
    const oldest = performance.now() - RETENTION_MILLISECONDS;
    this.#seen = this.#seen.filter(({ lastSeenAtMilliseconds }) => lastSeenAtMilliseconds > oldest);
  }

  /** Records that changes before now may have been missed. */
  restart(): void {
    this.#observedSinceMilliseconds = performance.now();
  }

  /** Versions of a service within the given time; undefined if some may have been missed. */
  within(service: string, milliseconds: number): readonly (string | undefined)[] | undefined {
    // Versions within a longer time are not kept.
    if (milliseconds > RETENTION_MILLISECONDS) return undefined;
    const since = performance.now() - milliseconds;
    if (this.#observedSinceMilliseconds > since) return undefined;
    return this.#listSeen(service, since);
  }

  /** Whether more than one version of a service was seen within the given time. */
  hasSeveral(service: string, milliseconds: number): boolean {
    return this.#listSeen(service, performance.now() - milliseconds).length > 1;
  }

  /** Returns each version of a service that was seen since a time. */
  #listSeen(service: string, sinceMilliseconds: number): readonly (string | undefined)[] {
    this.#seeAnnounced();
    return this.#seen
      .filter(
        (seen) => seen.service === service && seen.lastSeenAtMilliseconds >= sinceMilliseconds,
      )
      .map(({ version }) => version);
  }

  #seeAnnounced(): void {
    const now = performance.now();
    this.#announced.forEach((announced) => {
      const mutableVersion = announced;
      mutableVersion.lastSeenAtMilliseconds = now;
    });
  }

  #see({ service, version }: FleetTarget): SeenVersion {
    const lastSeenAtMilliseconds = performance.now();
    const known = this.#seen.find((seen) => seen.service === service && seen.version === version);
    if (known) {
      known.lastSeenAtMilliseconds = lastSeenAtMilliseconds;
      return known;
    }
    const added = { service, version, lastSeenAtMilliseconds };
    this.#seen.push(added);
    return added;
  }
}

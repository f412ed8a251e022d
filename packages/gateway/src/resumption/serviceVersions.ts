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

  /** Announced until now; these are seen at any time until they are no longer announced. */
  #announced: readonly FleetTarget[] = [];

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
    this.#announced.forEach((target) => this.#see(target));
    targets.forEach((target) => this.#see(target));
    this.#announced = targets;
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
    this.#announced.forEach((target) => this.#see(target));
    return this.#seen
      .filter(
        (seen) => seen.service === service && seen.lastSeenAtMilliseconds >= sinceMilliseconds,
      )
      .map(({ version }) => version);
  }

  #see({ service, version }: FleetTarget): void {
    const known = this.#seen.find((seen) => seen.service === service && seen.version === version);
    const lastSeenAtMilliseconds = performance.now();
    if (known) known.lastSeenAtMilliseconds = lastSeenAtMilliseconds;
    else this.#seen.push({ service, version, lastSeenAtMilliseconds });
  }
}

import { createHash } from 'node:crypto';
import type {
  FleetConfiguration,
  FleetOrganisation,
  FleetRoute,
  TargetService,
} from './fleetConfiguration';

const digestOf = (secret: string): string => createHash('sha256').update(secret).digest('base64');

/** Looks up routes, organisations and services of one version of the configuration. */
export class ConfigurationIndex {
  readonly configuration: FleetConfiguration;

  readonly #routesByHost = new Map<string, FleetRoute[]>();

  /** Organisations by the SHA-256 digest of each of their keys. */
  readonly #organisationsByKeyDigest = new Map<string, FleetOrganisation>();

  readonly #routes: ReadonlyMap<string, FleetRoute>;

  readonly #organisations: ReadonlyMap<string, FleetOrganisation>;

  readonly #services: ReadonlyMap<string, TargetService>;

  constructor(configuration: FleetConfiguration) {
    this.configuration = configuration;
    this.#services = new Map(configuration.services.map((service) => [service.name, service]));
    this.#routes = new Map(configuration.routes.map((route) => [route.name, route]));
    this.#organisations = new Map(
      configuration.organisations?.map((organisation) => [organisation.name, organisation]),
    );
    configuration.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      this.#routesByHost.set(host, [...(this.#routesByHost.get(host) ?? []), route]);
    });
    this.#routesByHost.forEach((routes) =>
      routes.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length),
    );
    configuration.organisations?.forEach((organisation) =>
      organisation.keys.forEach((key) => {
        this.#organisationsByKeyDigest.set(digestOf(key), organisation);
      }),
    );
  }

  /** Returns the route of a host with the longest path prefix that matches. */
  findRoute(host: string, path: string): FleetRoute | undefined {
    return this.#routesByHost
      .get(host.toLowerCase())
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** Returns the organisation that holds a key. */
  findOrganisation(key: string): FleetOrganisation | undefined {
    return this.#organisationsByKeyDigest.get(digestOf(key));
  }

  /** Returns the route that has a name in this version of the configuration. */
  findRouteByName(name: string): FleetRoute | undefined {
    return this.#routes.get(name);
  }

  findOrganisationByName(name: string): FleetOrganisation | undefined {
    return this.#organisations.get(name);
  }

  /** Whether organisations are configured, so that callers present keys. */
  get hasOrganisations(): boolean {
    return this.configuration.organisations !== undefined;
  }

  findService(name: string): TargetService | undefined {
    return this.#services.get(name);
  }
}

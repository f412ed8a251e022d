import { ConfigurationIndex } from '../configuration/configurationIndex';
import type { FleetConfiguration } from '../configuration/fleetConfiguration';
import { ServiceVersions } from '../resumption/serviceVersions';
import { ColdTargets } from '../limits/coldTargets';
import { TargetDirectory } from '../targets/targetDirectory';
import { Evacuations } from './evacuations';

/** This instance's view of the fleet: the configuration in force and the targets. */
export class FleetState {
  readonly targets = new TargetDirectory();

  readonly evacuations = new Evacuations();

  readonly coldTargets = new ColdTargets();

  readonly versions = new ServiceVersions();

  /**
   * Whether the store is unreachable, so that a newer configuration may be in force on other
   * instances.
   */
  isConfigurationUnconfirmed = false;

  #index: ConfigurationIndex | undefined;

  /** The configuration in force; undefined until the first one has been read. */
  get index(): ConfigurationIndex | undefined {
    return this.#index;
  }

  /** Applies a configuration; returns false, and ignores it, if its version is not newer. */
  apply(configuration: FleetConfiguration): boolean {
    const current = this.#index?.configuration.version ?? -Infinity;
    if (configuration.version <= current) return false;
    this.#index = new ConfigurationIndex(configuration);
    this.coldTargets.configure(configuration.services);
    return true;
  }
}

import { ConfigurationIndex } from '../configuration/configurationIndex';
import type { FleetConfiguration } from '../configuration/fleetConfiguration';
import { TargetDirectory } from '../targets/targetDirectory';

/** What this instance believes of the fleet: the configuration in force and the targets. */
export class FleetState {
  readonly targets = new TargetDirectory();

  /** Whether the store is out of reach, so that a newer configuration may be in force elsewhere. */
  isConfigurationInDoubt = false;

  #index: ConfigurationIndex | undefined;

  /** The configuration in force; undefined until the first one is known. */
  get index(): ConfigurationIndex | undefined {
    return this.#index;
  }

  /** Puts a version in force; returns false for one that is not newer. */
  apply(configuration: FleetConfiguration): boolean {
    const current = this.#index?.configuration.version ?? -Infinity;
    if (configuration.version <= current) return false;
    this.#index = new ConfigurationIndex(configuration);
    return true;
  }
}

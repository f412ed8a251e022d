import { ConfigurationIndex } from '../configuration/configurationIndex';
import type { FleetConfiguration } from '../configuration/fleetConfiguration';
import { ServiceVersions } from '../resumption/serviceVersions';
import { ColdTargets } from '../limits/coldTargets';
import type { FleetTarget } from '../targets/fleetTarget';
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

  /** Whether the store is unreachable, so that targets may start again without its telling. */
  areTargetsUnconfirmed = false;

  #index: ConfigurationIndex | undefined;

  /** The configuration in force; undefined until the first one has been read. */
  get index(): ConfigurationIndex | undefined {
    return this.#index;
  }

  /** Records that a target refused a connection. */
  recordRefusal(target: FleetTarget): void {
    this.targets.markRefused(target);
    if (this.areTargetsUnconfirmed) this.coldTargets.suspectRestart(target);
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

import type { Configuration } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { SchedulerSettings } from './schedulerSettings';
import { TargetScores } from './targetScores';
import { TargetView } from './targetView';
import { WindowSplit } from './windowSplit';

/** Options of a {@link TargetTable}. */
export interface TargetTableOptions {
  readonly instance: string;
  readonly settings: SchedulerSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** All declared targets with this instance's shares of their windows and their health. */
export class TargetTable {
  readonly #options: TargetTableOptions;

  readonly #split: WindowSplit;

  readonly scores = new TargetScores();

  readonly #views = new Map<string, TargetView>();

  /** Targets of each route, for which the share of ejected targets is capped. */
  #routes: readonly (readonly string[])[] = [];

  constructor(options: TargetTableOptions) {
    this.#options = options;
    this.#split = new WindowSplit(options.instance);
  }

  view(target: string): TargetView | undefined {
    return this.#views.get(target);
  }

  views(): readonly TargetView[] {
    return [...this.#views.values()];
  }

  /** Returns this instance's rank among all instances for a target, from 0. */
  rank(target: string): number {
    return this.#split.rank(target);
  }

  applyConfiguration({ targets, routes }: Configuration): void {
    this.#routes = [...routes.values()].map((route) => route.targets);
    [...this.#views.keys()]
      .filter((name) => !targets.has(name))
      .forEach((name) => {
        this.#views.get(name)?.retire();
        this.#views.delete(name);
      });
    targets.forEach((spec, name) => {
      const view =
        this.#views.get(name) ?? new TargetView(name, spec, this.#options.settings, this.scores);
      this.#views.set(name, view);
      view.configure(spec, this.#split.share(name, spec.window), this.#split.size);
    });
  }

  setFleet(instances: readonly string[]): void {
    this.#split.setFleet(instances);
    this.#views.forEach((view) => {
      view.configure(view.spec, this.#split.share(view.name, view.spec.window), this.#split.size);
    });
  }

  /** Refreshes the targets whose slots change with time. */
  refreshTimeDependent(): void {
    this.#views.forEach((view) => {
      if (view.changesWithTime) view.refresh();
    });
  }

  /** Records a success of a call or a probe. */
  recordSuccess(view: TargetView): void {
    const before = view.health.state().kind;
    view.health.recordSuccess();
    if (before === 'probation') this.#options.logger.info('target.returned', { target: view.name });
    view.refresh();
  }

  /** Records a failure of a call or a probe, and ejects the target if the cap allows it. */
  recordFailure(view: TargetView): void {
    if (!view.health.recordFailure()) return;
    if (!this.#mayEject(view)) {
      this.#options.metrics.increment('target.ejections-capped');
      return;
    }
    view.health.eject();
    view.refresh();
    this.#options.metrics.increment('target.ejections');
    this.#options.logger.warn('target.ejected', { target: view.name });
  }

  /** Returns whether every route of the target would stay within the cap on ejected targets. */
  #mayEject(view: TargetView): boolean {
    return this.#routes
      .filter((targets) => targets.includes(view.name))
      .every(
        (targets) => this.#countEjected(targets) + 1 <= this.#computeEjectionCap(targets.length),
      );
  }

  #countEjected(targets: readonly string[]): number {
    const kinds = targets.map((target) => this.#views.get(target)?.health.state().kind);
    return kinds.filter((kind) => kind === 'ejected').length;
  }

  /** One of two or more targets may always be ejected; a single target never. */
  #computeEjectionCap(targets: number): number {
    if (targets < 2) return 0;
    return Math.max(1, Math.floor(targets * this.#options.settings.maximumEjectedShare));
  }
}

import type { Logger } from '@limpetnotch/observability';
import type { RateLayout } from './rateLayout';

/** Members up to which each holds an equal part of every rate. */
const EQUAL_PARTS_MEMBERS = 8;

/** Time after which all members know that the layout has changed. */
const SETTLE_MILLISECONDS = 1_500;

/** How the members that choose holders share rates now, and whether all of them know. */
type HolderStage =
  | { readonly kind: 'unused' | 'settled' }
  | { readonly kind: 'settling'; readonly timer: NodeJS.Timeout };

/** Parts of {@link RateLayouts}. */
export interface RateLayoutsParts {
  readonly instance: string;
  /** Called when the layout has changed by itself. */
  readonly onChange: () => void;
  readonly logger: Logger;
}

/**
 * Chooses how the members share rates. While it changes, each instance holds the smaller one of its
 * former and its next part.
 */
export class RateLayouts {
  readonly #parts: RateLayoutsParts;

  #members: readonly string[] = [];

  #hasShare = false;

  #stage: HolderStage = { kind: 'unused' };

  #usesHolders = false;

  constructor(parts: RateLayoutsParts) {
    this.#parts = parts;
  }

  get current(): RateLayout {
    const { instance } = this.#parts;
    const members = this.#members;
    const hasShare = this.#hasShare && members.includes(instance);
    if (this.#stage.kind === 'unused') {
      const rank = members.indexOf(instance);
      return hasShare ? { kind: 'equal-parts', rank, members } : { kind: 'none' };
    }
    const stage = hasShare ? this.#stage.kind : 'waiting';
    return { kind: 'holders', instance, members, stage };
  }

  /** Lets this instance hold a part. */
  grantShare(): void {
    this.#hasShare = true;
  }

  /**
   * Applies the members, and whether all of them can choose holders. A new process takes over the
   * layout that it finds, since its tokens count as spent at first.
   */
  update(members: readonly string[], canAllChoose: boolean): void {
    const isFirst = this.#members.length === 0;
    this.#members = members;
    if (!members.includes(this.#parts.instance)) this.#hasShare = false;
    const usesHolders = canAllChoose && members.length > EQUAL_PARTS_MEMBERS;
    if (usesHolders === this.#usesHolders) return;
    this.#usesHolders = usesHolders;
    if (isFirst) {
      this.#settle();
      return;
    }
    if (this.#stage.kind === 'settling') clearTimeout(this.#stage.timer);
    const timer = setTimeout(() => this.#settle(), SETTLE_MILLISECONDS).unref();
    this.#setStage({ kind: 'settling', timer });
  }

  #settle(): void {
    this.#setStage({ kind: this.#usesHolders ? 'settled' : 'unused' });
    this.#parts.onChange();
  }

  #setStage(stage: HolderStage): void {
    this.#stage = stage;
    this.#parts.logger.info('quota.layout', {
      usesHolders: this.#usesHolders,
      stage: stage.kind,
      members: this.#members.length,
    });
  }
}

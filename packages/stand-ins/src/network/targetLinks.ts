import type { LinkMode } from './linkMode';
import { TargetLink } from './targetLink';

/** Links of one instance to all targets. */
export class TargetLinks {
  readonly #links = new Map<string, Promise<TargetLink>>();

  #mode: LinkMode = 'open';

  /** Returns the address at which the instance reaches a target (`host:port`). */
  async addressOf(targetAddress: string): Promise<string> {
    const [host = '', port = ''] = targetAddress.split(':');
    const link = this.#links.get(targetAddress) ?? TargetLink.start(Number(port), this.#mode);
    this.#links.set(targetAddress, link);
    return `${host}:${(await link).port}`;
  }

  /** Cuts all links, or opens them again; applies to links that are added later, too. */
  async setMode(mode: LinkMode): Promise<void> {
    this.#mode = mode;
    await Promise.all([...this.#links.values()].map(async (link) => (await link).setMode(mode)));
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#links.values()].map(async (link) => (await link).stop()));
  }
}

import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { Deferred } from '@limpetnotch/supervision';

/** An event-driven service that is already started and runs until its supervisor stops it. */
export interface StartedService {
  stop(): Promise<void>;
}

/** Wraps a service with a start and a stop function as a child of a supervisor. */
export const createServiceChild = (
  name: string,
  start: () => Promise<StartedService>,
): ChildSpecification => ({
  name,
  restart: 'always',
  run: async ({ signal, ready }: ChildContext) => {
    const service = await start();
    ready();
    const stopped = new Deferred();
    if (signal.aborted) stopped.resolve(undefined);
    signal.addEventListener('abort', () => stopped.resolve(undefined), { once: true });
    await stopped.promise;
    await service.stop();
  },
});

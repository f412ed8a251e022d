import type { StandInServer } from './standInServer';

/** Paths by which tests control a stand-in and read its state. */
export const CONTROL_PATHS: ReadonlySet<string> = new Set([
  '/faults',
  '/statistics',
  '/requests',
  '/executions',
  '/orders',
  '/traces',
]);

/** Operations that a stand-in exposes on its control paths. */
export interface Controls {
  /** Parses and applies a change of faults; resolves to the faults now in force. */
  setFaults(change: unknown): Promise<object>;
  statistics(): object;
  /** Functions that return further lists, by path, such as `/executions`. */
  readonly lists: Readonly<Record<string, () => unknown>>;
}

/** Adds the control paths `POST /faults`, `GET /statistics` and the lists to a server. */
export const addControlPaths = (server: StandInServer, controls: Controls): void => {
  const { application } = server;
  application.post('/faults', (request) => controls.setFaults(request.body));
  application.get('/statistics', async () => controls.statistics());
  Object.entries(controls.lists).forEach(([path, read]) => {
    application.get(path, async () => ({ items: read() }));
  });
};

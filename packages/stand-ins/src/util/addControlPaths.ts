import type { StandInServer } from './standInServer';

/** Paths by which tests steer a stand-in and read it. */
export const CONTROL_PATHS: ReadonlySet<string> = new Set([
  '/faults',
  '/statistics',
  '/requests',
  '/executions',
  '/orders',
  '/traces',
]);

/** What a stand-in shows and takes over its control paths. */
export interface Controls {
  /** Parses and applies a change of faults; resolves to the faults now in force. */
  setFaults(change: unknown): Promise<object>;
  statistics(): object;
  /** Further lists to read, by path, such as `/executions`. */
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

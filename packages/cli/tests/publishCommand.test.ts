import { createHash } from 'node:crypto';
import { join } from 'node:path';
import { ConfigurationPublisher } from '@limpetnotch/declarations';
import type { Configuration } from '@limpetnotch/declarations';
import { createEtcdStore } from '@limpetnotch/store';
import type { KeyValueStore } from '@limpetnotch/store';
import { StoreStandIn } from '@limpetnotch/stand-ins';
import { runTestCli } from './runTestCli';
import type { CliRun } from './runTestCli';

const CONSORTIUM = join(__dirname, '..', '..', '..', 'examples', 'consortium');
const ORGANISATION = 'al-nour-electrical';

let standIn = new StoreStandIn();
let store: KeyValueStore;
let address = '';

const runWithStore = (...words: string[]): Promise<CliRun> =>
  runTestCli(words, { LIMPETNOTCH_STORE: address, LIMPETNOTCH_AUTHOR: 'rana' });

const readCurrent = async (): Promise<Configuration> =>
  (await new ConfigurationPublisher(store).read())._unsafeUnwrap();

beforeEach(async () => {
  standIn = new StoreStandIn();
  address = `http://127.0.0.1:${await standIn.start()}`;
  store = createEtcdStore({ endpoints: [address] });
});
afterEach(async () => {
  await store.close();
  await standIn.stop();
});

test('publishes, shows no difference, and names the author on a conflict', async () => {
  expect(await runWithStore('publish', CONSORTIUM, '--base', '0')).toMatchObject({ exitCode: 0 });
  const diff = await runWithStore('diff', CONSORTIUM);
  expect(diff.stdout).toContain('0 changes from revision 1');
  const conflict = await runWithStore('publish', CONSORTIUM, '--base', '0', '--author', 'yusuf');
  expect(conflict.stderr).toContain('base is revision 0, but revision 1 by rana');
  expect(conflict.exitCode).toBe(1);
});

test('issues a key that can be declared, and withdraws it permanently', async () => {
  await runWithStore('publish', CONSORTIUM);
  const issued = await runWithStore('key', 'issue', ORGANISATION, '--name', 'new-key', '--json');
  const { secret, document } = JSON.parse(issued.stdout) as { secret: string; document: string };
  const digest = `sha256:${createHash('sha256').update(secret).digest('hex')}`;
  expect(document).toContain(digest);
  expect((await readCurrent()).keys.get('new-key')).toEqual({
    organisation: ORGANISATION,
    digest,
    state: 'active',
  });
  expect(await runWithStore('key', 'withdraw', 'new-key')).toMatchObject({ exitCode: 0 });
  expect((await readCurrent()).keys.get('new-key')?.state).toBe('withdrawn');
  expect((await runWithStore('rollback', '2')).exitCode).toBe(0);
  expect(await readCurrent()).toMatchObject({ revision: 4 });
  expect((await readCurrent()).keys.get('new-key')?.state).toBe('withdrawn');
});

test('keeps the secret out of the store', async () => {
  await runWithStore('publish', CONSORTIUM);
  const issued = await runWithStore('key', 'issue', ORGANISATION, '--json');
  const { secret } = JSON.parse(issued.stdout) as { secret: string };
  const stored = (await store.list('configuration/'))._unsafeUnwrap().entries;
  expect(stored.length).toBeGreaterThan(0);
  expect(JSON.stringify(stored)).not.toContain(secret);
});

test('drains a target and refuses an unknown one', async () => {
  await runWithStore('publish', CONSORTIUM);
  expect(await runWithStore('target', 'drain', 'engine-1')).toMatchObject({ exitCode: 0 });
  expect((await readCurrent()).targets.get('engine-1')?.state).toBe('leaving');
  const unknown = await runWithStore('target', 'drain', 'engine-99');
  expect(unknown).toMatchObject({ exitCode: 1, stderr: 'target/engine-99 is not declared\n' });
});

test('publishes all keys that operators issue at the same time', async () => {
  await runWithStore('publish', CONSORTIUM);
  const names = ['one', 'two', 'three'];
  const runs = await Promise.all(
    names.map((name) => runWithStore('key', 'issue', ORGANISATION, '--name', name)),
  );
  expect(runs.map(({ exitCode }) => exitCode)).toEqual([0, 0, 0]);
  const { keys, revision } = await readCurrent();
  expect(names.map((name) => keys.has(name))).toEqual([true, true, true]);
  expect(revision).toBe(4);
});

test('exits with 3 when the store is unavailable', async () => {
  await standIn.setFaults({ outage: 'unavailable' });
  const { exitCode, stderr } = await runWithStore('publish', CONSORTIUM);
  expect(stderr).toContain('nothing was published');
  expect(exitCode).toBe(3);
}, 20_000);

test('shows the revision and the instances', async () => {
  await runWithStore('publish', CONSORTIUM);
  const member = {
    instance: 'entry-1',
    incarnation: 'a',
    peerAddress: '127.0.0.1:7080',
    availabilityZone: 'amman-a',
    leaving: true,
  };
  const request = { key: 'instances/entry-1', expectedRevision: 0, value: JSON.stringify(member) };
  (await store.compareAndSwap(request))._unsafeUnwrap();
  const { stdout } = await runWithStore('status');
  expect(stdout).toContain('configuration: revision 1 by rana');
  expect(stdout).toMatch(/entry-1 +amman-a +127\.0\.0\.1:7080 +leaving/);
});

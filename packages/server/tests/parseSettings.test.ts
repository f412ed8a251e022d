import { parseSettings } from '../src';

const validSettings = {
  instance: 'entry-1',
  availabilityZone: 'zone-a',
  entryPort: '8080',
  peerPort: '7080',
  store: 'http://10.0.0.5:2379, http://10.0.0.6:2379',
};

test('fills in the defaults', () => {
  const settings = parseSettings(validSettings)._unsafeUnwrap();
  expect(settings).toMatchObject({ leaseSeconds: 3, entryHost: '127.0.0.1', entryPort: 8080 });
  expect(settings.store).toEqual(['http://10.0.0.5:2379', 'http://10.0.0.6:2379']);
});

test('names the flag, variable, value and range of each invalid setting', () => {
  const { store: dropped, ...rest } = validSettings;
  const faults = parseSettings({ ...rest, entryPort: '99999' })
    ._unsafeUnwrapErr()
    .join('\n');
  expect(dropped).toBeDefined();
  expect(faults).toMatch('--entry-port (LIMPETNOTCH_ENTRY_PORT) is "99999"');
  expect(faults).toMatch('65535');
  expect(faults).toMatch('--store (LIMPETNOTCH_STORE) is missing');
});

test('never prints a secret', () => {
  const faults = parseSettings({ ...validSettings, operatorToken: 'short' })
    ._unsafeUnwrapErr()
    .join('\n');
  expect(faults).toMatch('--operator-token (LIMPETNOTCH_OPERATOR_TOKEN) has a wrong value');
  expect(faults).not.toMatch('short');
});

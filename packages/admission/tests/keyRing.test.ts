import { KeyRing } from '@limpetnotch/admission';
import { createConfiguration, createSecret } from './fixtures';

test('accepts every active key of an organisation and no other secret', () => {
  const keyRing = new KeyRing(
    createConfiguration([
      { name: 'first', organisation: 'amman' },
      { name: 'second', organisation: 'amman' },
      { name: 'other', organisation: 'zarqa' },
    ]),
  );
  const organisationOf = (name: string): string =>
    keyRing.authenticate(createSecret(name))._unsafeUnwrap().organisation;
  expect(['first', 'second', 'other'].map(organisationOf)).toEqual(['amman', 'amman', 'zarqa']);
  for (const secret of ['', createSecret('third'), createSecret('first').toUpperCase()]) {
    expect(keyRing.authenticate(secret)._unsafeUnwrapErr()).toEqual({ kind: 'key-unknown' });
  }
});

test('rejects a withdrawn key, also for streams and calls that it opened', () => {
  const before = new KeyRing(createConfiguration([{ name: 'key', organisation: 'amman' }]));
  const identity = before.authenticate(createSecret('key'))._unsafeUnwrap();
  expect(before.isInForce(identity)).toBe(true);
  const after = new KeyRing(
    createConfiguration([{ name: 'key', organisation: 'amman', state: 'withdrawn' }]),
  );
  expect(after.authenticate(createSecret('key')).isErr()).toBe(true);
  expect(after.isInForce(identity)).toBe(false);
});

test('a key of the same name with another secret or organisation does not remain active', () => {
  const identity = new KeyRing(createConfiguration([{ name: 'key', organisation: 'amman' }]))
    .authenticate(createSecret('key'))
    ._unsafeUnwrap();
  const rotated = createConfiguration([{ name: 'key', organisation: 'amman', secret: 'other' }]);
  const moved = createConfiguration([{ name: 'key', organisation: 'zarqa' }]);
  expect(new KeyRing(rotated).isInForce(identity)).toBe(false);
  expect(new KeyRing(moved).isInForce(identity)).toBe(false);
});

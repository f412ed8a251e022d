import { KeyRing } from '@limpetnotch/admission';
import { configurationOf, secretOf } from './fixtures';

test('accepts every active key of an organisation and no other secret', () => {
  const ring = new KeyRing(
    configurationOf([
      { name: 'first', organisation: 'amman' },
      { name: 'second', organisation: 'amman' },
      { name: 'other', organisation: 'zarqa' },
    ]),
  );
  const organisationOf = (name: string): string =>
    ring.authenticate(secretOf(name))._unsafeUnwrap().organisation;
  expect(['first', 'second', 'other'].map(organisationOf)).toEqual(['amman', 'amman', 'zarqa']);
  for (const secret of ['', secretOf('third'), secretOf('first').toUpperCase()]) {
    expect(ring.authenticate(secret)._unsafeUnwrapErr()).toEqual({ kind: 'key-unknown' });
  }
});

test('refuses a withdrawn key and ends what it opened', () => {
  const before = new KeyRing(configurationOf([{ name: 'key', organisation: 'amman' }]));
  const identity = before.authenticate(secretOf('key'))._unsafeUnwrap();
  expect(before.isInForce(identity)).toBe(true);
  const after = new KeyRing(
    configurationOf([{ name: 'key', organisation: 'amman', state: 'withdrawn' }]),
  );
  expect(after.authenticate(secretOf('key')).isErr()).toBe(true);
  expect(after.isInForce(identity)).toBe(false);
});

test('a key of the same name with another secret or organisation does not carry on', () => {
  const identity = new KeyRing(configurationOf([{ name: 'key', organisation: 'amman' }]))
    .authenticate(secretOf('key'))
    ._unsafeUnwrap();
  const rotated = configurationOf([{ name: 'key', organisation: 'amman', secret: 'other' }]);
  const moved = configurationOf([{ name: 'key', organisation: 'zarqa' }]);
  expect(new KeyRing(rotated).isInForce(identity)).toBe(false);
  expect(new KeyRing(moved).isInForce(identity)).toBe(false);
});

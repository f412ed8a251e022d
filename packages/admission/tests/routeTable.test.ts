import { RouteTable } from '@limpetnotch/admission';
import { createConfiguration } from './fixtures';

const table = new RouteTable(
  createConfiguration(
    [],
    [
      { name: 'tools', path: '/tools' },
      { name: 'charge', path: '/tools/charge/' },
      { name: 'status', path: '/tools/charge', methods: ['GET'] },
      {
        name: 'open',
        path: '/open',
        access: { kind: 'open', sourceLimit: { requestsPerSecond: 1, burst: 1 } },
      },
      { name: 'own', path: '/own', access: { kind: 'keyed', organisations: ['amman'] } },
    ],
  ),
);

test.each([
  ['POST', '/tools', 'tools'],
  ['POST', '/tools/chargeback', 'tools'],
  ['POST', '/tools/charge/7?next=//', 'charge'],
  ['POST', '/tools/ch%61rge', 'charge'],
  ['POST', '/tools/charge;v=1/7', 'charge'],
  ['GET', '/tools/charge/', 'status'],
])('%s %s goes to %s', (method, path, name) => {
  expect(table.match(method, path)._unsafeUnwrap().name).toBe(name);
});

test.each([
  ...['/', '/toolshed', 'tools', 'http://host/tools', '*', '/tools/../open', '/tools/./x'],
  ...['/tools//charge', '//tools', '/tools/%2e%2e/open', '/tools%2fcharge', '/tools%5ccharge'],
  ...['/tools\\charge', '/tools/%252e%252e', '/tools/..;/open', '/tools/%00', '/tools/%zz'],
  ...['/tools/#x', '/TOOLS'],
])('no route for %s', (path) => {
  expect(table.match('POST', path)._unsafeUnwrapErr()).toEqual({ kind: 'route-not-found' });
});

test('lists the methods of the longest prefix', () => {
  const error = table.match('DELETE', '/tools/charge')._unsafeUnwrapErr();
  expect(error).toEqual({ kind: 'method-not-allowed', allowed: ['POST', 'GET'] });
});

test('only the declared organisations may call', () => {
  const mayCall = (path: string, organisation: string): boolean =>
    table.mayCall(table.match('POST', path)._unsafeUnwrap().route, organisation);
  expect(mayCall('/own', 'amman')).toBe(true);
  expect(mayCall('/own', 'zarqa')).toBe(false);
  expect(mayCall('/open', 'zarqa') && mayCall('/tools', 'zarqa')).toBe(true);
});

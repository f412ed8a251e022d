import { toConnectionError } from '../../src/gateway/storeErrors';

test.each(['EHOSTUNREACH', 'ENETUNREACH'])(
  'a write whose open connection fails with %s may have taken effect',
  (code) => {
    const failure = Object.assign(new Error(`read ${code}`), { code, syscall: 'read' });
    expect(toConnectionError('compare-and-swap', failure).kind).toBe('unknown-outcome');
  },
);

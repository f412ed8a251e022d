import type { RequestContent } from '../../src/quarantine/requestDigest';
import { requestDigest } from '../../src/quarantine/requestDigest';

const content: RequestContent = {
  organisation: 'north',
  method: 'POST',
  host: 'a.example',
  pathAndQuery: '/one?x=1',
  body: Buffer.from('body'),
};

test('is the same for the same content', () => {
  expect(requestDigest({ ...content, body: Buffer.from('body') })).toBe(requestDigest(content));
});

test.each<Partial<RequestContent>>([
  { organisation: 'south' },
  { method: 'PUT' },
  { host: 'b.example' },
  { pathAndQuery: '/one?x=2' },
  { body: Buffer.from('other') },
  { pathAndQuery: '/one?x=1b', body: Buffer.from('ody') },
])('differs with %j', (change) => {
  expect(requestDigest({ ...content, ...change })).not.toBe(requestDigest(content));
});

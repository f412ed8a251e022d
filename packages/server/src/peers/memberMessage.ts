import { create } from '@bufbuild/protobuf';
import type { Member } from '@limpetnotch/partitions';
import type { Member as MemberMessage } from '@limpetnotch/peer-protocol';
import { MemberSchema } from '@limpetnotch/peer-protocol';

/** Creates the peer protocol message of a member. */
export const createMemberMessage = (member: Member): MemberMessage => create(MemberSchema, member);

/** Reads the message of a member. */
export const toMember = (message: MemberMessage): Member => ({
  instance: message.instance,
  incarnation: message.incarnation,
  peerAddress: message.peerAddress,
  availabilityZone: message.availabilityZone,
  leaving: message.leaving,
});

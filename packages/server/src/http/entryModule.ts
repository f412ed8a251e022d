import type { DynamicModule } from '@nestjs/common';
import { Module } from '@nestjs/common';
import type { Admission } from '../entry/admittedCall';
import type { CallService } from '../entry/callService';
import type { ProgramRequests } from '../entry/programRequests';
import { CallController } from './callController';
import { HealthController } from './healthController';
import { OperatorController } from './operatorController';
import type { OperatorService } from './operatorService';
import { ProgramController } from './programController';
import type { Readiness } from './readiness';
import { ADMISSION, CALL_DESK, OPERATOR_DESK, PROGRAM_REQUESTS, READINESS } from './tokens';

/** Services of the instance that the controllers call. */
export interface EntryServices {
  readonly calls: CallService;
  readonly programs: ProgramRequests;
  readonly admission: Admission;
  readonly readiness: Readiness;
  readonly operator: OperatorService;
}

/** Nest module of the entry's HTTP API. */
@Module({})
export class EntryModule {
  /** Creates the module with the services of one instance. */
  static with(services: EntryServices): DynamicModule {
    return {
      module: EntryModule,
      controllers: [HealthController, OperatorController, ProgramController, CallController],
      providers: [
        { provide: CALL_DESK, useValue: services.calls },
        { provide: PROGRAM_REQUESTS, useValue: services.programs },
        { provide: ADMISSION, useValue: services.admission },
        { provide: READINESS, useValue: services.readiness },
        { provide: OPERATOR_DESK, useValue: services.operator },
      ],
    };
  }
}

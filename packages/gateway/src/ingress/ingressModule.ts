import type { DynamicModule } from '@nestjs/common';
import { Module } from '@nestjs/common';
import { RequestController } from './requestController';
import type { RequestHandler } from './requestHandler';
import { REQUEST_HANDLER } from './requestHandler';

/** Nest module that passes all requests to one handler. */
@Module({})
export class IngressModule {
  static forHandler(handle: RequestHandler): DynamicModule {
    return {
      module: IngressModule,
      controllers: [RequestController],
      providers: [{ provide: REQUEST_HANDLER, useValue: handle }],
    };
  }
}

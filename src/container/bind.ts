import {Container, ResolutionContext, ServiceIdentifier} from 'inversify';

/**
 * Binds one part, made once.
 * @param container - The container.
 * @param key - Class or symbol of the part.
 * @param create - Makes it from the other parts.
 */
export function bind<T>(
  container: Container,
  key: ServiceIdentifier<T>,
  create: (context: ResolutionContext) => T,
): void {
  container.bind<T>(key).toDynamicValue(create).inSingletonScope();
}

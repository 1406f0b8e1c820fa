import {Container, ResolutionContext, ServiceIdentifier} from 'inversify';

/**
 * Binds a component as a singleton that is created on first use.
 * @param container - The container.
 * @param key - Class or symbol that identifies the component.
 * @param create - Creates the component; resolves its dependencies in `context`.
 */
export function bind<T>(
  container: Container,
  key: ServiceIdentifier<T>,
  create: (context: ResolutionContext) => T,
): void {
  container.bind<T>(key).toDynamicValue(create).inSingletonScope();
}
